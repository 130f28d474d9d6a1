//! Adapter: hosts instances of the decision module and speaks the simulator's wire on stdin and
//! stdout.

mod codec;

use codec::{CodecError, Record, Reply, Scope, HEADER};
use lichenswitch::config::settings::{self, SettingsError};
use lichenswitch::interface::{Action, Event, ListedServer, ServerListUpdate};
use lichenswitch::policy::Coordinator;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
enum AdapterError {
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("event for instance {0}, which has not begun")]
    UnknownInstance(u32),
    #[error("list {0} was never sent")]
    UnknownList(u8),
    #[error("read: {0}")]
    Read(io::Error),
    #[error("write: {0}")]
    Write(io::Error),
    #[error("input ends {0} bytes into a header")]
    EndInHeader(usize),
    #[error("input ends {read} bytes into a frame of {length}")]
    EndInFrame { read: usize, length: usize },
}

/// The instances of this process, and the lists that events refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Coordinator>,
    pages: BTreeMap<u8, Vec<ListedServer>>,
}

impl Host {
    /// Carries out one batch and returns the reply's frame.
    fn handle_batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, AdapterError> {
        let (now, records) = codec::decode(frame)?;
        let mut inbox: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
        for record in records {
            match record {
                Record::Begin {
                    instance,
                    seed,
                    facts,
                } => {
                    inbox.insert(instance, Vec::new());
                    self.instances
                        .insert(instance, Coordinator::new(seed, settings::parse(&facts)?));
                }
                Record::PowerOff { instance } => {
                    inbox.remove(&instance);
                    self.instances.remove(&instance);
                }
                Record::Snapshot { page, lines } => {
                    self.pages.insert(page, lines);
                }
                Record::Roster {
                    instance,
                    scope,
                    page,
                } => {
                    let listing = self.listing(scope, page)?;
                    inbox
                        .entry(instance)
                        .or_default()
                        .push(Event::List(listing));
                }
                Record::Event { instance, event } => inbox.entry(instance).or_default().push(event),
                Record::Ignored { instance } => {
                    inbox.entry(instance).or_default();
                }
            }
        }
        let mut reply = Reply::default();
        for (instance, events) in inbox {
            match self.instances.get_mut(&instance) {
                Some(module) => run_guarded(instance, &mut reply, |actions| {
                    module.turn(now, events, actions)
                }),
                None => return Err(AdapterError::UnknownInstance(instance)),
            }
        }
        Ok(reply.encode())
    }

    fn listing(&self, scope: Scope, page: u8) -> Result<ServerListUpdate, AdapterError> {
        if scope == Scope::Failed {
            return Ok(ServerListUpdate::Failed);
        }
        let lines = self
            .pages
            .get(&page)
            .ok_or(AdapterError::UnknownList(page))?
            .clone();
        Ok(match scope {
            Scope::Changes => ServerListUpdate::Changes(lines),
            Scope::Whole => ServerListUpdate::Complete(lines),
            Scope::Cached | Scope::Failed => ServerListUpdate::Cached(lines),
        })
    }
}

/// Lets an instance act; a panic in it becomes the wire's report of a failure, and nothing else is
/// sent for it.
fn run_guarded(instance: u32, reply: &mut Reply, act: impl FnOnce(&mut Vec<Action>)) {
    let mut actions: Vec<Action> = Vec::new();
    match catch_unwind(AssertUnwindSafe(|| act(&mut actions))) {
        Ok(()) => actions
            .iter()
            .for_each(|action| reply.action(instance, action)),
        Err(cause) => {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let text = text
                .or_else(|| cause.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            reply.bug(instance, text);
        }
    }
}

/// Reads one frame; `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut frame = Vec::with_capacity(HEADER);
    input
        .take(HEADER as u64)
        .read_to_end(&mut frame)
        .map_err(AdapterError::Read)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let header = frame
        .first_chunk()
        .ok_or(AdapterError::EndInHeader(frame.len()))?;
    let length = codec::frame_length(header)?;
    input
        .take((length - HEADER) as u64)
        .read_to_end(&mut frame)
        .map_err(AdapterError::Read)?;
    if frame.len() < length {
        return Err(AdapterError::EndInFrame {
            read: frame.len(),
            length,
        });
    }
    Ok(Some(frame))
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(frame) = read_frame(&mut input)? {
        let reply = host.handle_batch(&frame)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("lichenswitch-simulator-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
