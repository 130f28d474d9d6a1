//! The platform's discovery: the whole list when asked, and watches that wait.

use crate::http;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

/// One line of the list.
#[derive(Clone, Debug)]
pub struct Line {
    /// Id of the data node.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its cell.
    pub cell: u32,
}

/// Serves a list that does not change, for as long as the process; tells where.
///
/// # Errors
/// When no address of loopback can be listened on.
pub fn start(lines: &[Line]) -> std::io::Result<SocketAddr> {
    let list = list(lines);
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
                        return http::answer(stream, 200, "application/json", none);
                    }
                    http::answer(stream, 200, "application/json", &list)
                });
            });
        }
    });
    Ok(address)
}

/// The list as discovery words it.
#[must_use]
pub fn list(lines: &[Line]) -> String {
    let line = |l: &Line| {
        serde_json::json!({"instanceId": l.id, "hostPort": l.address.to_string(), "zone": "a", "machineType": "m",
            "cell": l.cell, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0})
    };
    let instances: Vec<_> = lines.iter().map(line).collect();
    serde_json::json!({"generation": 1, "reset": true, "instances": instances}).to_string()
}
