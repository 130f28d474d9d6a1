//! Listeners: where others connect, and when they are accepted.

use super::{ConnId, Net, Program, BACKLOG, LISTENER_KEY};
use lichenswitch_descriptors::ConnectionKind;
use polling::{Event, PollMode};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

impl<P: Program> Net<P> {
    /// Listens for clients, and returns the address, whose port the system may have chosen. Another
    /// process may listen at the same address.
    ///
    /// # Errors
    /// What the system returns, such as an address in use or a port that needs privileges.
    pub fn listen(&mut self, owner: P::Owner, address: SocketAddr) -> io::Result<SocketAddr> {
        // Guards an upgrade: the next process begins to listen while this one still serves.
        self.listen_at(owner, address, true)
    }

    /// As [`Net::listen`], where no other process may listen at the address at the same time; one
    /// that has ended doesn't matter.
    ///
    /// # Errors
    /// What the system returns, such as an address in use or a port that needs privileges.
    pub fn listen_exclusively(
        &mut self,
        owner: P::Owner,
        address: SocketAddr,
    ) -> io::Result<SocketAddr> {
        self.listen_at(owner, address, false)
    }

    pub(super) fn listen_at(
        &mut self,
        owner: P::Owner,
        address: SocketAddr,
        shared: bool,
    ) -> io::Result<SocketAddr> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        // Connections of the process before may still be known to the system.
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        self.listen_on(owner, socket.into())
    }

    /// Takes over a socket that listens already, and returns its address.
    ///
    /// # Errors
    /// What the system returns where the socket can't be polled or has no address.
    pub fn listen_on(&mut self, owner: P::Owner, listener: TcpListener) -> io::Result<SocketAddr> {
        listener.set_nonblocking(true)?;
        let key = LISTENER_KEY + self.listeners.len();
        self.poller
            .add_with_mode(&listener, Event::readable(key), PollMode::Level)?;
        let bound = listener.local_addr()?;
        self.listeners.push((owner, Some(listener)));
        Ok(bound)
    }

    /// Where it listens, by owner.
    #[must_use]
    pub fn addresses(&self) -> Vec<(P::Owner, SocketAddr)> {
        let address = |l: &Option<TcpListener>| l.as_ref()?.local_addr().ok();
        self.listeners
            .iter()
            .filter_map(|(owner, l)| Some((*owner, address(l)?)))
            .collect()
    }

    /// Another handle of the socket that `owner` listens on.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotConnected`] where `owner` listens on none; else what the system returns.
    pub fn listener_of(&self, owner: P::Owner) -> io::Result<TcpListener> {
        let found = self
            .listeners
            .iter()
            .find(|l| l.0 == owner)
            .and_then(|l| l.1.as_ref());
        found
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))?
            .try_clone()
    }

    /// Closes the listeners of `owner`.
    pub fn close_listeners(&mut self, owner: P::Owner) {
        for (_, listener) in self.listeners.iter_mut().filter(|l| l.0 == owner) {
            if let Some(listener) = listener.take() {
                // A listener that can't be taken out of the poller is taken out by its close.
                let _ = self.poller.delete(&listener);
            }
        }
    }

    /// Closes all listeners.
    pub fn stop_listening(&mut self) {
        let owners: Vec<P::Owner> = self.listeners.iter().map(|l| l.0).collect();
        owners
            .into_iter()
            .for_each(|owner| self.close_listeners(owner));
    }

    /// Accepts all that wait at the listeners of `owner`. With the budget used up the rest wait
    /// until a client's connection is given back.
    pub fn accept(&mut self, owner: P::Owner) -> Vec<ConnId> {
        let mut taken = Vec::new();
        let listeners = std::mem::take(&mut self.listeners);
        for listener in listeners
            .iter()
            .filter(|l| l.0 == owner)
            .filter_map(|l| l.1.as_ref())
        {
            loop {
                // Guards the descriptor budget: over it a process fails in places that can't say
                // so.
                if !self.may_open(P::side(owner)) {
                    if P::side(owner) == ConnectionKind::InboundPeers {
                        // Clients don't wait for peers: one too many is closed, and comes again
                        // later.
                        match listener.accept() {
                            Err(e) if e.kind() != io::ErrorKind::Interrupted => break,
                            _ => continue,
                        }
                    }
                    self.is_accept_paused = true;
                    break;
                }
                match listener.accept() {
                    Ok((stream, _)) => taken.extend(self.add(stream, owner, true)),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    // One that left before it was accepted is no reason to leave the others
                    // waiting.
                    Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                    // Guards the loop: the system has no descriptor or memory for it, and a
                    // listener stays ready.
                    Err(_) => {
                        self.is_accept_paused = true;
                        break;
                    }
                }
            }
        }
        self.listeners = listeners;
        if self.is_accept_paused {
            self.poll_listeners(false);
        }
        taken
    }

    /// Reports listeners that have connections to accept, or not: one that stays ready would spin
    /// the loop.
    pub(super) fn poll_listeners(&mut self, on: bool) {
        for (i, (_, listener)) in self.listeners.iter().enumerate() {
            let Some(listener) = listener else { continue };
            let event = Event {
                key: LISTENER_KEY + i,
                readable: on,
                writable: false,
            };
            // A listener that can't be changed goes on as it is: late to accept, or busy.
            let _ = self
                .poller
                .modify_with_mode(listener, event, PollMode::Level);
        }
    }

    /// Accepts again once there is room. Where the system itself had none, that shows in the next
    /// try.
    pub fn resume_accepting(&mut self) {
        if self.is_accept_paused && self.may_open(ConnectionKind::Clients) {
            self.is_accept_paused = false;
            self.poll_listeners(true);
        }
    }

    /// Whether clients wait because the budget is used up.
    #[must_use]
    pub fn is_accept_paused(&self) -> bool {
        self.is_accept_paused
    }
}
