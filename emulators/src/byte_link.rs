//! A stand-in for the network between two processes that carries bytes as they are, both ways, and
//! can be cut: as behind a network that is down, nothing that was sent comes through, no end of a
//! connection is heard of, new connections hang, and all of it comes once the link is healed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often a link that is cut looks whether it is healed.
const LOOK: Duration = Duration::from_millis(3);
/// Bytes that are carried at a time.
const PIECE: usize = 32 * 1_024;

/// A link to one address.
#[derive(Clone, Debug)]
pub struct ByteLink {
    /// Where the other side connects instead.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
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
            cut: Arc::default(),
        };
        let cut = link.cut.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || join(from, to, &cut));
            }
        });
        Ok(link)
    }

    /// Cuts the link, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

/// Joins a connection to a new one to this address.
fn join(from: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    wait(cut);
    let Ok(onward) = TcpStream::connect(to) else {
        // Nobody listens there: the other side hears of it as it would without a link.
        return drop(from.shutdown(Shutdown::Both));
    };
    let (Ok(back_from), Ok(back_to)) = (onward.try_clone(), from.try_clone()) else {
        return;
    };
    let back_cut = cut.clone();
    thread::spawn(move || carry(back_from, back_to, &back_cut));
    carry(from, onward, cut);
}

/// Carries bytes one way until either end is over.
fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut piece = vec![0; PIECE];
    loop {
        let read = from.read(&mut piece).unwrap_or(0);
        wait(cut);
        if read == 0 || to.write_all(&piece[..read]).is_err() {
            break;
        }
    }
    // An end that is gone already needs none.
    let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(LOOK);
    }
}

#[cfg(test)]
mod tests;
