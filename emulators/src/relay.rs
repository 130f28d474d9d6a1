//! Emulates the network between two processes, in one direction: it forwards messages that begin with
//! their length in four bytes (big-endian), and can drop, delay, duplicate and pause them, reset
//! connections, or be partitioned. Bytes in the opposite direction are forwarded unchanged.

use crate::sync::lock;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

/// Interval at which a paused relay checks whether it may go on.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The faults of a relay. By default there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// All messages are dropped silently: connections stay open.
    pub is_partitioned: bool,
    /// Messages are delayed until the pause is over, and delivered together then.
    pub is_paused: bool,
    /// Delay of each message in milliseconds.
    pub delay_ms: u64,
    /// Share of the messages that are dropped, 0 to 1.
    pub loss_share: f64,
    /// Share of the messages that are delivered twice, 0 to 1.
    pub duplicate_share: f64,
}

/// The numbers of messages that a relay received, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Messages forwarded; a duplicated one counts once.
    pub forwarded: u64,
    /// Messages dropped.
    pub dropped: u64,
}

struct State {
    faults: Faults,
    rng: Xoshiro256PlusPlus,
    open_connections: Vec<Weak<TcpStream>>,
    counts: MessageCounts,
}

impl State {
    /// How often the next message is delivered, and after which delay.
    fn next_delivery(&mut self) -> (usize, Duration) {
        let faults = self.faults;
        let delay = Duration::from_millis(faults.delay_ms);
        if faults.is_partitioned || self.rng.random_bool(faults.loss_share) {
            self.counts.dropped += 1;
            return (0, delay);
        }
        self.counts.forwarded += 1;
        let copies = 1 + usize::from(self.rng.random_bool(faults.duplicate_share));
        (copies, delay)
    }
}

/// An emulated network link in one direction. Its threads end with the process.
#[derive(Clone)]
pub struct Relay {
    /// The address to which the sender connects instead.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a relay to an address; its random faults follow from `seed`.
    ///
    /// # Errors
    /// When no address of loopback can be listened on.
    pub fn start(to: SocketAddr, seed: u64) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let state = State {
            faults: Faults::default(),
            rng,
            open_connections: Vec::new(),
            counts: MessageCounts::default(),
        };
        let relay = Relay {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
        };
        let accepting = relay.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                accepting.accept_connection(from, to);
            }
        });
        Ok(relay)
    }

    fn state<T>(&self, with: impl FnOnce(&mut State) -> T) -> T {
        with(&mut lock(&self.state))
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        self.state(|state| state.faults = faults);
    }

    /// Closes all open connections in both directions.
    pub fn reset(&self) {
        for stream in self
            .state(|state| std::mem::take(&mut state.open_connections))
            .iter()
            .filter_map(Weak::upgrade)
        {
            // Closing a connection that is gone already fails, which is fine.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The messages so far.
    #[must_use]
    pub fn message_counts(&self) -> MessageCounts {
        self.state(|state| state.counts)
    }

    fn accept_connection(&self, from: TcpStream, to: SocketAddr) {
        let Ok(onward) = TcpStream::connect(to) else {
            return drop(from.shutdown(Shutdown::Both));
        };
        // Shared, so that a connection takes two descriptors however many threads use it.
        let (from, onward) = (Arc::new(from), Arc::new(onward));
        self.state(|state| {
            state
                .open_connections
                .retain(|stream| stream.strong_count() > 0);
            state
                .open_connections
                .extend([Arc::downgrade(&from), Arc::downgrade(&onward)]);
        });
        let (back_in, back_out) = (onward.clone(), from.clone());
        thread::spawn(move || {
            let _ = std::io::copy(&mut &*back_in, &mut &*back_out);
            let _ = back_out.shutdown(Shutdown::Both);
        });
        let relay = self.clone();
        thread::spawn(move || {
            relay.forward(&from, &onward);
            let _ = onward.shutdown(Shutdown::Both);
        });
    }

    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream) {
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
            while self.state(|state| state.faults.is_paused) {
                thread::sleep(PAUSE_POLL_INTERVAL);
            }
            let (copies, delay) = self.state(State::next_delivery);
            thread::sleep(delay);
            for _ in 0..copies {
                if to.write_all(&message).is_err() {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
