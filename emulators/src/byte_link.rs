//! Emulates the network between two processes: bytes are forwarded unchanged in both directions, and
//! the link can be partitioned. During a partition no bytes and no end of a connection get through,
//! and new connections hang; all of it is delivered once the link is healed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which a partitioned link checks whether it is healed.
const HEAL_POLL_INTERVAL: Duration = Duration::from_millis(3);
/// The most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 32 * 1_024;

/// A link to one address. Its threads end with the process.
#[derive(Clone, Debug)]
pub struct ByteLink {
    /// The address to which the other side connects instead.
    pub address: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
}

impl ByteLink {
    /// Starts a link to an address.
    ///
    /// # Errors
    /// When no address of loopback can be listened on.
    pub fn start(to: SocketAddr) -> std::io::Result<ByteLink> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = ByteLink {
            address: listener.local_addr()?,
            is_partitioned: Arc::default(),
        };
        let is_partitioned = link.is_partitioned.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let is_partitioned = is_partitioned.clone();
                thread::spawn(move || connect_through(from, to, &is_partitioned));
            }
        });
        Ok(link)
    }

    /// Partitions the link, or heals it.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::SeqCst);
    }
}

/// Connects to `to`, and forwards bytes between the two connections.
fn connect_through(from: TcpStream, to: SocketAddr, is_partitioned: &Arc<AtomicBool>) {
    wait_until_healed(is_partitioned);
    let Ok(upstream) = TcpStream::connect(to) else {
        // Nobody listens there: the connection ends, much as it would be refused without a link.
        return drop(from.shutdown(Shutdown::Both));
    };
    let (Ok(back_from), Ok(back_to)) = (upstream.try_clone(), from.try_clone()) else {
        return;
    };
    let back_is_partitioned = is_partitioned.clone();
    thread::spawn(move || forward(back_from, back_to, &back_is_partitioned));
    forward(from, upstream, is_partitioned);
}

/// Forwards bytes in one direction until either end closes.
fn forward(mut from: TcpStream, mut to: TcpStream, is_partitioned: &AtomicBool) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).unwrap_or(0);
        wait_until_healed(is_partitioned);
        if read == 0 || to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    // Closing an end that is gone already fails, which is fine.
    let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
}

fn wait_until_healed(is_partitioned: &AtomicBool) {
    while is_partitioned.load(Ordering::SeqCst) {
        thread::sleep(HEAL_POLL_INTERVAL);
    }
}

#[cfg(test)]
mod tests;
