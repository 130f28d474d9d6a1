//! A stand-in for the network between two processes, in one direction: it carries messages of a
//! length in four bytes and so many, and can lose, delay, duplicate and hold them, break
//! connections, or be cut. What goes back is carried as it is.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

/// What befalls the messages of a link. The default is that nothing does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// All messages are lost, without a word: connections stay open.
    pub cut: bool,
    /// Messages wait until this is over, and come then: late, all together.
    pub held: bool,
    /// Each message takes so many milliseconds longer.
    pub delay_ms: u64,
    /// Share of the messages that are lost.
    pub lost: f64,
    /// Share of the messages that come twice.
    pub twice: f64,
}

struct State {
    faults: Faults,
    dice: Xoshiro256PlusPlus,
    open: Vec<Weak<TcpStream>>,
    /// Messages carried, and lost.
    carried: u64,
    lost: u64,
}

/// A link in one direction.
#[derive(Clone)]
pub struct Relay {
    /// Where the sender connects instead.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a link to an address, with chance from a seed.
    ///
    /// # Errors
    /// When no address of loopback can be listened on.
    pub fn start(to: SocketAddr, seed: u64) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let dice = Xoshiro256PlusPlus::seed_from_u64(seed);
        let state = State {
            faults: Faults::default(),
            dice,
            open: Vec::new(),
            carried: 0,
            lost: 0,
        };
        let relay = Relay {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
        };
        let accepting = relay.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                accepting.link(from, to);
            }
        });
        Ok(relay)
    }

    fn state<T>(&self, with: impl FnOnce(&mut State) -> T) -> T {
        with(&mut self.state.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// From now on these faults hold.
    pub fn set(&self, faults: Faults) {
        self.state(|s| s.faults = faults);
    }

    /// Breaks all connections that are open.
    pub fn reset(&self) {
        for stream in self
            .state(|s| std::mem::take(&mut s.open))
            .iter()
            .filter_map(Weak::upgrade)
        {
            // One that is gone already needs no end.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Messages carried and lost so far.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        self.state(|s| (s.carried, s.lost))
    }

    fn link(&self, from: TcpStream, to: SocketAddr) {
        let Ok(onward) = TcpStream::connect(to) else {
            return drop(from.shutdown(Shutdown::Both));
        };
        // Two descriptors for a connection, however many look at it.
        let (from, onward) = (Arc::new(from), Arc::new(onward));
        self.state(|s| {
            s.open.retain(|stream| stream.strong_count() > 0);
            s.open
                .extend([Arc::downgrade(&from), Arc::downgrade(&onward)]);
        });
        let (back_in, back_out) = (onward.clone(), from.clone());
        thread::spawn(move || {
            let _ = std::io::copy(&mut &*back_in, &mut &*back_out);
            let _ = back_out.shutdown(Shutdown::Both);
        });
        let relay = self.clone();
        thread::spawn(move || {
            relay.carry(&from, &onward);
            let _ = onward.shutdown(Shutdown::Both);
        });
    }

    fn carry(&self, mut from: &TcpStream, mut to: &TcpStream) {
        loop {
            let mut message = vec![0; 4];
            if from.read_exact(&mut message).is_err() {
                return;
            }
            let length =
                u32::from_be_bytes([message[0], message[1], message[2], message[3]]) as usize;
            message.resize(4 + length, 0);
            if from.read_exact(&mut message[4..]).is_err() {
                return;
            }
            while self.state(|s| s.faults.held) {
                thread::sleep(Duration::from_millis(5));
            }
            let (times, delay) = self.state(|s| {
                let lost = s.faults.cut || s.dice.random_bool(s.faults.lost);
                let times = if lost {
                    0
                } else {
                    1 + usize::from(s.dice.random_bool(s.faults.twice))
                };
                s.carried += u64::from(!lost);
                s.lost += u64::from(lost);
                (times, s.faults.delay_ms)
            });
            thread::sleep(Duration::from_millis(delay));
            for _ in 0..times {
                if to.write_all(&message).is_err() {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
