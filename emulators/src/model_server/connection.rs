//! The connections of a model server: they are accepted up to a limit, and each serves one request
//! after another.

mod health;
mod request;
mod response;
mod streaming;

use super::{Event, Shared};
use crate::stream_client::message::{read_head, Head};
use crate::sync::lock;
use rustix::net::sockopt::set_socket_linger;
use std::io::BufReader;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Accepts connections until the server ends.
pub(super) fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        if shared.is_stopped() {
            return;
        }
        let Ok(duplicate) = stream.try_clone() else {
            continue;
        };
        let mut open_connections = lock(&shared.open_connections);
        open_connections.retain(|stream| stream.peer_addr().is_ok());
        if open_connections.len() >= shared.description.max_connections {
            drop(open_connections);
            shared.ledger.record("", Event::ConnectionReset);
            reset_on_close(&stream);
            continue;
        }
        open_connections.push(duplicate);
        drop(open_connections);
        let shared = shared.clone();
        thread::spawn(move || {
            if let Some(connection) = Connection::new(stream, shared) {
                connection.serve();
            }
        });
    }
}

/// Makes the close of a connection a reset, not an orderly end.
fn reset_on_close(stream: &TcpStream) {
    // If the option can't be set, the connection is closed: still an end without a response.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether a connection carries another request after this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Persistence {
    KeepAlive,
    Close,
}

impl Persistence {
    fn closing_if(closes: bool) -> Persistence {
        if closes {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }
}

/// A connection of a caller.
struct Connection {
    from: BufReader<TcpStream>,
    to: TcpStream,
    shared: Arc<Shared>,
    /// A copy of an earlier response, which is sent before the next response.
    delayed_response: Vec<u8>,
    /// Whether it ends by a reset.
    ends_by_reset: bool,
}

impl Connection {
    fn new(stream: TcpStream, shared: Arc<Shared>) -> Option<Connection> {
        // Small writes are events, which must be sent at once.
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(shared.description.idle_timeout))
            .ok()?;
        let to = stream.try_clone().ok()?;
        Some(Connection {
            from: BufReader::new(stream),
            to,
            shared,
            delayed_response: Vec::new(),
            ends_by_reset: false,
        })
    }

    /// Serves requests until the caller or the server closes the connection.
    fn serve(mut self) {
        while let Ok(Some(head)) = read_head(&mut self.from) {
            if self.shared.is_stopped() || self.serve_request(head) == Persistence::Close {
                break;
            }
        }
        if !self.ends_by_reset {
            // Closing a connection that is gone already fails, which is fine.
            let _ = self.to.shutdown(Shutdown::Write);
        }
        lock(&self.shared.open_connections)
            .retain(|stream| stream.peer_addr().ok() != self.to.peer_addr().ok());
    }

    fn serve_request(&mut self, head: Head) -> Persistence {
        let [method, path, _] = &head.first_line;
        if method == "GET" && *path == self.shared.description.health_path {
            return self.respond_health();
        }
        if method == "GET" && path == "/report" {
            return self.respond_report();
        }
        self.handle_request(head)
    }

    /// Whether the caller has closed its connection.
    fn is_disconnected(&self) -> bool {
        if !self.from.buffer().is_empty() || self.from.get_ref().set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.from.get_ref().peek(&mut [0]);
        let restored = self.from.get_ref().set_nonblocking(false);
        let disconnected = match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        disconnected || restored.is_err()
    }
}
