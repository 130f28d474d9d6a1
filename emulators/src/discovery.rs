//! Emulates the platform's discovery with a constant list: it returns the complete list, and lets
//! watches wait until their timeout.

use crate::http;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

/// A data node in the list.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Id of the data node.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its cell.
    pub cell: u32,
}

/// Serves a constant list for as long as the process runs, and returns its address.
///
/// # Errors
/// When no address of loopback can be listened on.
pub fn start(instances: &[Instance]) -> std::io::Result<SocketAddr> {
    let list = list(instances);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                http::serve(stream, |stream, request| {
                    if let Some(wait) = request.parameter("timeout_ms").and_then(|t| t.parse().ok())
                    {
                        thread::sleep(Duration::from_millis(wait));
                        let none = r#"{"generation":1,"reset":false,"instances":[]}"#;
                        return http::respond(stream, 200, "application/json", none);
                    }
                    http::respond(stream, 200, "application/json", &list)
                });
            });
        }
    });
    Ok(address)
}

/// The list in discovery's JSON format.
#[must_use]
pub fn list(instances: &[Instance]) -> String {
    let instance_json = |instance: &Instance| {
        serde_json::json!({"instanceId": instance.id, "hostPort": instance.address.to_string(), "zone": "a", "machineType": "m",
            "cell": instance.cell, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0})
    };
    let instances: Vec<_> = instances.iter().map(instance_json).collect();
    serde_json::json!({"generation": 1, "reset": true, "instances": instances}).to_string()
}
