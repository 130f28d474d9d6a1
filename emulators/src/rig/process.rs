//! A process of a rig, below a supervisor that kills it if the rig ends without doing so.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};

/// Shell script that starts the program and prints its process id. Its standard input closes when
/// the rig is gone, however that ended, and the script kills the program then.
const SUPERVISOR_SCRIPT: &str = r#"exec 3<&0; "$0" </dev/null 3<&- & p=$!; echo $p; (cat <&3 >/dev/null; kill -9 $p) 2>/dev/null & w=$!
    exec 3<&-; wait $p; s=$?; kill $w; exit $s"#;

/// A process that was started.
pub(super) struct Process {
    supervisor: Child,
    pid: Pid,
}

/// A process with the stream of its log lines.
pub(super) struct SpawnedProcess {
    pub(super) process: Process,
    pub(super) stderr: ChildStderr,
}

impl Process {
    /// Starts a program with these variables in its environment.
    ///
    /// # Errors
    /// When it can't be started.
    pub(super) fn spawn(
        program: &Path,
        environment: &[(&str, &Path)],
    ) -> std::io::Result<SpawnedProcess> {
        let mut supervisor = Command::new("/bin/sh")
            .arg("-c")
            .arg(SUPERVISOR_SCRIPT)
            .arg(program)
            .env_remove("NODE_CONFIG")
            .env_remove("LICHENSWITCH_CONFIG")
            .envs(environment.iter().copied())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let (Some(stdout), Some(stderr)) = (supervisor.stdout.take(), supervisor.stderr.take())
        else {
            return Err(std::io::Error::other("no pipes"));
        };
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let pid = line
            .trim()
            .parse()
            .ok()
            .and_then(Pid::from_raw)
            .ok_or_else(|| std::io::Error::other(format!("no process id: {line:?}")))?;
        let process = Process { supervisor, pid };
        Ok(SpawnedProcess { process, stderr })
    }

    /// The operating system's id of the process.
    pub(super) fn id(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Sends a signal to the process; one that is gone already needs none.
    pub(super) fn signal(&self, signal: Signal) {
        let _ = kill_process(self.pid, signal);
    }

    /// Waits until the process ends, and returns its status. The supervisor's input stays open until
    /// then: closing it would kill the process.
    pub(super) fn wait(&mut self) -> Option<i32> {
        let input = self.supervisor.stdin.take();
        let status = self.supervisor.wait().ok()?.code();
        drop(input);
        status
    }
}
