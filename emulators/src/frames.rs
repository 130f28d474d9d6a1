//! A data node that speaks the frame protocol: a length, a kind of one letter, and the content. A
//! script chooses the outcome of each part by its phase; a ledger records which parts were responded
//! to, cancelled and late.

use crate::sync::lock;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Kind of a greeting and of its response.
const GREETING: u8 = b'G';
/// Kind of a health check and of its response.
const HEALTH_CHECK: u8 = b'T';
/// Kind of the cancellation of a part.
const CANCELLATION: u8 = b'A';
/// Kind of a call with parts.
const CALL: u8 = b'R';
/// Kind of the response to a part.
const RESPONSE: u8 = b'Y';
/// Kind of the response to a call that can't be read.
const NOT_UNDERSTOOD: u8 = b'N';

/// The outcome of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartOutcome {
    /// A response with this score after this number of milliseconds.
    Respond(f64, u64),
    /// No response.
    NoResponse,
    /// A response that reports an error.
    Error,
    /// Rejected without being run.
    Reject,
    /// The connection is closed.
    Disconnect,
    /// A malformed response.
    Malformed,
}

/// A part as received.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    /// Its id: the query's, a dot, the shard, and `.get` in the second phase.
    pub id: String,
    /// Its shard.
    pub shard: u32,
    /// How long the broker waits, in milliseconds.
    pub wait_ms: u64,
    /// The shards whose first phase was included; `None` in the first phase.
    pub included_shards: Option<Vec<u32>>,
}

impl PartRequest {
    /// The id of its query.
    #[must_use]
    pub fn query(&self) -> &str {
        self.id.split('.').next().unwrap_or_default()
    }
}

/// What a data node received and sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Parts received, in order.
    pub received: Vec<PartRequest>,
    /// Ids of parts responded to in time.
    pub responded: Vec<String>,
    /// Ids of parts that the broker cancelled, by a message or by closing their connection.
    pub cancelled: Vec<String>,
    /// Ids of parts whose response was due later than the broker waits.
    pub late: Vec<String>,
    /// Ids of parts responded to after the latency target of their query, where one is set.
    pub after_target: Vec<String>,
}

/// The latency target of queries, and when the first part of each was received.
#[derive(Default)]
struct LatencyTargets {
    target: Option<Duration>,
    started_at: HashMap<String, Instant>,
}

type Script = Arc<Mutex<Box<dyn FnMut(&PartRequest) -> PartOutcome + Send>>>;

/// A data node. Its threads end with the process.
#[derive(Clone)]
pub struct DataNode {
    /// The address at which it listens.
    pub address: SocketAddr,
    script: Script,
    ledger: Arc<Mutex<Ledger>>,
    targets: Arc<Mutex<LatencyTargets>>,
}

/// Encodes a frame: the length of what follows in four bytes (big-endian), its kind, its content.
fn frame(kind: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = (content.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(content);
    bytes
}

/// Why a call can't be read.
#[derive(Debug, Error)]
enum CallError {
    #[error("a part without its line")]
    MissingLine,
    #[error(transparent)]
    NotText(#[from] std::str::Utf8Error),
    #[error("a line of {0:?}")]
    Line(String),
    #[error("{text:?} in {line:?}")]
    Number { text: String, line: String },
    #[error("a part without d")]
    MissingWait,
    #[error("a part cut short")]
    CutShort,
}

/// The parts of one call: for each a line `ID SHARD LIST LENGTH`, then so many bytes.
fn parse_parts(mut remaining: &[u8]) -> Result<Vec<PartRequest>, CallError> {
    let mut found = Vec::new();
    while !remaining.is_empty() {
        let end = remaining
            .iter()
            .position(|&b| b == b'\n')
            .ok_or(CallError::MissingLine)?;
        let line = std::str::from_utf8(&remaining[..end])?;
        let columns: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = columns[..] else {
            return Err(CallError::Line(line.into()));
        };
        let item = |name: &str| list.split(',').find_map(|i| i.strip_prefix(name));
        let number = |text: &str| {
            text.parse::<u64>().map_err(|_| CallError::Number {
                text: text.into(),
                line: line.into(),
            })
        };
        let included_shards =
            item("from=").map(|all| all.split('+').filter_map(|s| s.parse().ok()).collect());
        let length = number(length)? as usize;
        found.push(PartRequest {
            id: id.into(),
            shard: number(shard)? as u32,
            wait_ms: number(item("d=").ok_or(CallError::MissingWait)?)?,
            included_shards,
        });
        remaining = remaining
            .get(end + 1 + length..)
            .ok_or(CallError::CutShort)?;
    }
    Ok(found)
}

impl DataNode {
    /// Starts a data node with a script.
    ///
    /// # Errors
    /// When no address of loopback can be listened on.
    pub fn start(
        script: impl FnMut(&PartRequest) -> PartOutcome + Send + 'static,
    ) -> std::io::Result<DataNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let script: Script = Arc::new(Mutex::new(Box::new(script)));
        let node = DataNode {
            address,
            script,
            ledger: Arc::default(),
            targets: Arc::default(),
        };
        let accepting = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = accepting.clone();
                thread::spawn(move || node.serve(stream));
            }
        });
        Ok(node)
    }

    /// Sets the latency target: responses later than this after the first part of their query are
    /// recorded in [`Ledger::after_target`].
    pub fn set_latency_target(&self, target: Duration) {
        lock(&self.targets).target = Some(target);
    }

    /// Whether the latency target of a query has passed; its first part starts it.
    fn is_past_target(&self, query: &str) -> bool {
        let mut targets = lock(&self.targets);
        let started_at = *targets
            .started_at
            .entry(query.into())
            .or_insert_with(Instant::now);
        targets
            .target
            .is_some_and(|target| started_at.elapsed() > target)
    }

    /// A copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.with_ledger(|ledger| ledger.clone())
    }

    fn with_ledger<T>(&self, with: impl FnOnce(&mut Ledger) -> T) -> T {
        with(&mut lock(&self.ledger))
    }

    fn cancellation_count(&self, id: &str) -> usize {
        self.with_ledger(|ledger| ledger.cancelled.iter().filter(|g| *g == id).count())
    }

    /// Serves a connection; when it ends, all parts in flight on it are cancelled.
    fn serve(&self, stream: TcpStream) {
        let mut received_ids = Vec::new();
        self.serve_frames(stream, &mut received_ids);
        self.with_ledger(|ledger| {
            let is_unfinished = |id: &String| {
                ![&ledger.responded, &ledger.late, &ledger.cancelled]
                    .iter()
                    .any(|ids| ids.contains(id))
            };
            let unfinished: Vec<String> = received_ids.into_iter().filter(is_unfinished).collect();
            ledger.cancelled.extend(unfinished);
        });
    }

    /// Handles frames until the connection ends or a frame ends it.
    fn serve_frames(&self, mut reader: TcpStream, received_ids: &mut Vec<String>) {
        let Ok(writer) = reader.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        while let Some(content) = read_frame(&mut reader) {
            if !self.handle_frame(&writer, content[0], &content[1..], received_ids) {
                let _ = reader.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    /// Handles a frame of this kind with this content; returns whether the connection goes on.
    fn handle_frame(
        &self,
        writer: &Arc<Mutex<TcpStream>>,
        kind: u8,
        content: &[u8],
        received_ids: &mut Vec<String>,
    ) -> bool {
        match kind {
            GREETING => write(writer, &frame(GREETING, b"OK")),
            HEALTH_CHECK => write(writer, &frame(HEALTH_CHECK, b"-")),
            CANCELLATION => {
                let id = String::from_utf8_lossy(content).into_owned();
                self.with_ledger(|ledger| ledger.cancelled.push(id));
                true
            }
            CALL => match parse_parts(content) {
                Ok(parts) => {
                    received_ids.extend(parts.iter().map(|part| part.id.clone()));
                    parts.into_iter().all(|part| self.run_part(writer, part))
                }
                Err(error) => {
                    write(writer, &frame(NOT_UNDERSTOOD, error.to_string().as_bytes()));
                    false
                }
            },
            _ => false,
        }
    }

    /// Carries out the outcome that the script chooses for a part; returns whether the connection
    /// goes on.
    fn run_part(&self, writer: &Arc<Mutex<TcpStream>>, part: PartRequest) -> bool {
        let outcome = (lock(&self.script))(&part);
        self.with_ledger(|ledger| ledger.received.push(part.clone()));
        self.is_past_target(part.query());
        let respond = |text: &str| write(writer, &frame(RESPONSE, text.as_bytes()));
        match outcome {
            PartOutcome::NoResponse => true,
            PartOutcome::Disconnect => false,
            PartOutcome::Error => respond(&format!("{} ERROR - -\n", part.id)),
            PartOutcome::Reject => respond(&format!("{} REJECTED - -\n", part.id)),
            PartOutcome::Malformed => respond("what\n"),
            PartOutcome::Respond(score, delay_ms) => {
                let (node, writer) = (self.clone(), writer.clone());
                let cancellations = self.cancellation_count(&part.id);
                let respond_at = Instant::now() + Duration::from_millis(delay_ms);
                thread::spawn(move || {
                    thread::sleep(respond_at.saturating_duration_since(Instant::now()));
                    // Cancelled meanwhile; an earlier attempt may have been cancelled, too.
                    if node.cancellation_count(&part.id) == cancellations {
                        node.respond_with_score(&writer, part, score, delay_ms);
                    }
                });
                true
            }
        }
    }

    /// Responds to a part that took `delay_ms`.
    fn respond_with_score(
        &self,
        writer: &Mutex<TcpStream>,
        part: PartRequest,
        score: f64,
        delay_ms: u64,
    ) {
        let is_past_target = self.is_past_target(part.query());
        let response = format!("{} OK {score} -\nv{}", part.id, part.shard);
        // Recorded before it is sent, so that a test that has the response finds it in the ledger.
        self.with_ledger(|ledger| {
            if is_past_target {
                ledger.after_target.push(part.id.clone());
            }
            if delay_ms > part.wait_ms {
                ledger.late.push(part.id);
            } else {
                ledger.responded.push(part.id);
            }
        });
        write(writer, &frame(RESPONSE, response.as_bytes()));
    }
}

/// Reads the kind and the content of a frame; `None`: the connection ended, or the frame is empty.
fn read_frame(reader: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).ok()?;
    let mut content = vec![0; u32::from_be_bytes(length) as usize];
    reader.read_exact(&mut content).ok()?;
    (!content.is_empty()).then_some(content)
}

fn write(writer: &Mutex<TcpStream>, bytes: &[u8]) -> bool {
    lock(writer).write_all(bytes).is_ok()
}

#[cfg(test)]
mod tests;
