//! The socket that clients connect to is handed from one process of a broker to the next.
//!
//! Who closes a listening socket of its own resets what waits there. Two processes that listen on
//! the very same socket don't: with the one gone the other accepts what waits.

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// A process that is asked answers within this time, or the next one listens on a socket of its
/// own.
const PATIENCE: Duration = Duration::from_secs(1);

/// Hands a listener over to who has connected.
///
/// # Errors
/// When it is not taken.
pub fn offer(to: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let listeners = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut with = SendAncillaryBuffer::new(&mut space);
    if !with.push(SendAncillaryMessage::ScmRights(&listeners)) {
        return Err(io::Error::other("no room for a socket"));
    }
    sendmsg(to, &[IoSlice::new(b"d")], &mut with, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Takes the listener that is offered there.
///
/// # Errors
/// When nobody answers in time, or with no socket.
pub fn take(path: &Path) -> io::Result<TcpListener> {
    let from = UnixStream::connect(path)?;
    from.set_read_timeout(Some(PATIENCE))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut with = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(
        &from,
        &mut [IoSliceMut::new(&mut byte)],
        &mut with,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let sockets = with.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    let socket = sockets
        .flatten()
        .next()
        .ok_or_else(|| io::Error::other("no socket came"))?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests;
