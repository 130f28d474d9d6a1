//! The hand-over of the socket that clients connect to, from one process of a broker to the next.
//!
//! When a process closes a listening socket of its own, the connections in its backlog are reset.
//! When two processes listen on the very same socket, the other one still accepts them.

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
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Hands a listener over to the process that has connected.
///
/// # Errors
/// When it can't be sent.
pub fn offer(to: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let listeners = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !ancillary.push(SendAncillaryMessage::ScmRights(&listeners)) {
        return Err(io::Error::other("no room for a socket"));
    }
    sendmsg(
        to,
        &[IoSlice::new(b"d")],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )?;
    Ok(())
}

/// Takes the listener that a process offers at this path.
///
/// # Errors
/// When no process answers in time, or it answers without a socket.
pub fn take(path: &Path) -> io::Result<TcpListener> {
    let from = UnixStream::connect(path)?;
    from.set_read_timeout(Some(HANDOVER_TIMEOUT))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(
        &from,
        &mut [IoSliceMut::new(&mut byte)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let sockets = ancillary.drain().filter_map(|message| match message {
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
