//! Adapter: hosts instances of the decision module and speaks the simulator's wire on stdin and
//! stdout.

mod codec;

use codec::{Record, Reply, Scope, HEADER};
use lichenswitch::config::settings;
use lichenswitch::interface::{Action, Event, ListedServer, ServerListUpdate};
use lichenswitch::policy::Coordinator;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// The instances of this process, and the lists that events refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Coordinator>,
    pages: BTreeMap<u8, Vec<ListedServer>>,
}

impl Host {
    /// Carries out one batch and returns the reply's frame.
    fn batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, String> {
        let (now, records) = codec::decode(frame)?;
        let mut inbox: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
        for record in records {
            match record {
                Record::Begin { who, seed, facts } => {
                    inbox.insert(who, Vec::new());
                    self.instances
                        .insert(who, Coordinator::new(seed, settings::parse(&facts)?));
                }
                Record::PowerOff { who } => {
                    inbox.remove(&who);
                    self.instances.remove(&who);
                }
                Record::Snapshot { page, lines } => {
                    self.pages.insert(page, lines);
                }
                Record::Roster { who, scope, page } => {
                    let listing = self.listing(scope, page)?;
                    inbox.entry(who).or_default().push(Event::List(listing));
                }
                Record::Event { who, event } => inbox.entry(who).or_default().push(event),
                Record::Ignored { who } => {
                    inbox.entry(who).or_default();
                }
            }
        }
        let mut reply = Reply::default();
        for (who, events) in inbox {
            match self.instances.get_mut(&who) {
                Some(instance) => guarded(who, &mut reply, |out| instance.turn(now, events, out)),
                None => return Err(format!("event for instance {who}, which has not begun")),
            }
        }
        Ok(reply.encode())
    }

    fn listing(&self, scope: Scope, page: u8) -> Result<ServerListUpdate, String> {
        if scope == Scope::Failed {
            return Ok(ServerListUpdate::Failed);
        }
        let lines = self
            .pages
            .get(&page)
            .ok_or_else(|| format!("list {page} was never sent"))?
            .clone();
        Ok(match scope {
            Scope::Changes => ServerListUpdate::Changes(lines),
            Scope::Whole => ServerListUpdate::Whole(lines),
            Scope::Cached | Scope::Failed => ServerListUpdate::Cached(lines),
        })
    }
}

/// Lets an instance act; a panic in it becomes the wire's report of a failure, and nothing else is
/// sent for it.
fn guarded(who: u32, reply: &mut Reply, act: impl FnOnce(&mut Vec<Action>)) {
    let mut actions: Vec<Action> = Vec::new();
    match catch_unwind(AssertUnwindSafe(|| act(&mut actions))) {
        Ok(()) => actions.iter().for_each(|action| reply.action(who, action)),
        Err(cause) => {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let text = text
                .or_else(|| cause.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            reply.bug(who, text);
        }
    }
}

/// Reads one frame; `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut frame = Vec::with_capacity(HEADER);
    input
        .take(HEADER as u64)
        .read_to_end(&mut frame)
        .map_err(|e| format!("read: {e}"))?;
    if frame.is_empty() {
        return Ok(None);
    }
    let header = frame
        .first_chunk()
        .ok_or_else(|| format!("input ends {} bytes into a header", frame.len()))?;
    let length = codec::frame_length(header)?;
    input
        .take((length - HEADER) as u64)
        .read_to_end(&mut frame)
        .map_err(|e| format!("read: {e}"))?;
    if frame.len() < length {
        return Err(format!(
            "input ends {} bytes into a frame of {length}",
            frame.len()
        ));
    }
    Ok(Some(frame))
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    while let Some(frame) = read_frame(&mut input)? {
        let reply = host.batch(&frame)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("write: {e}"))?;
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
