//! Starts brokers in a [`Rig`]: their platform file, and a peer section that reaches every other
//! broker over a link of its own.

use super::process::Process;
use super::Rig;
use std::path::PathBuf;

/// Settings of a broker that gets no requests.
const BROKER_SETTINGS: &str = r#"{"allowed":{"maxAttempts":4,"mostHeld":40},"classes":[{"name":"c","objectiveUs":1000000,
    "deadlineUs":2000000,"idempotency":"retryable","gain":1.0,"lateShare":0.1}],"discovery":"subscribe",
    "resolutionUs":5000,"zones":["a"],"familyInfo":{"partsACall":8,"sets":1,"width":1,"classFetch":[0],
    "classPartial":[0.9],"minShare":[1.0],"needByClass":[1.0]}}"#;

impl Rig {
    /// Writes the files of a broker that reaches all others over the rig's links, and returns their
    /// paths: the platform's file and the operators'. `peer_settings` holds further lines of the
    /// section `peers`.
    ///
    /// # Errors
    /// When they can't be written.
    pub fn broker_files(
        &self,
        process: usize,
        peer_settings: &str,
    ) -> std::io::Result<[PathBuf; 2]> {
        let others = (0..self.addresses.len()).filter(|other| *other != process);
        let line = |o: usize| {
            format!(
                "    - {{name: n{o}, address: \"{}\"}}\n",
                self.link(process, o).address
            )
        };
        let others: String = others.map(line).collect();
        let (listen, zone) = (self.addresses[process], process % 3);
        let peers = format!(
            "peers:\n  cluster: test\n  listen: {listen}\n  zone: z{zone}\n{peer_settings}  known:\n{others}"
        );
        let platform = format!(
            r#"{{"name":"n{process}","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"{process}","settings":{BROKER_SETTINGS}}}"#
        );
        Ok([
            self.file(&format!("n{process}.json"), &platform)?,
            self.file(&format!("n{process}.yaml"), &peers)?,
        ])
    }

    /// Starts a broker with the files of [`Rig::broker_files`].
    ///
    /// # Errors
    /// When it can't be started.
    pub fn start_broker(&mut self, process: usize, files: &[PathBuf; 2]) -> std::io::Result<()> {
        self.start(
            process,
            &[
                ("NODE_CONFIG", &files[0]),
                ("LICHENSWITCH_CONFIG", &files[1]),
            ],
        )
    }

    /// The operating system's id of a broker's process.
    #[must_use]
    pub fn pid(&self, process: usize) -> Option<i32> {
        self.processes.get(&process).map(Process::id)
    }
}
