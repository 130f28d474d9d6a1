//! A data node that speaks the frame protocol: a length, a kind of one letter, and the content. A
//! script chooses the outcome of each part by its phase; a ledger records which parts were responded
//! to, cancelled and late.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

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

fn frame(kind: u8, remaining: &[u8]) -> Vec<u8> {
    let mut out = (remaining.len() as u32 + 1).to_be_bytes().to_vec();
    out.push(kind);
    out.extend_from_slice(remaining);
    out
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
        self.targets
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .target = Some(target);
    }

    /// Whether the latency target of a query has passed; its first part starts it.
    fn is_past_target(&self, query: &str) -> bool {
        let mut targets = self.targets.lock().unwrap_or_else(|e| e.into_inner());
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
        with(&mut self.ledger.lock().unwrap_or_else(|e| e.into_inner()))
    }

    fn cancellation_count(&self, id: &str) -> usize {
        self.with_ledger(|ledger| ledger.cancelled.iter().filter(|g| *g == id).count())
    }

    /// Serves a connection; when it ends, all parts in flight on it are cancelled.
    fn serve(&self, stream: TcpStream) {
        let mut received = Vec::new();
        self.read(stream, &mut received);
        self.with_ledger(|ledger| {
            let done = |id: &String| {
                [&ledger.responded, &ledger.late, &ledger.cancelled]
                    .iter()
                    .any(|l| l.contains(id))
            };
            let unfinished: Vec<String> = received.into_iter().filter(|id| !done(id)).collect();
            ledger.cancelled.extend(unfinished);
        });
    }

    fn read(&self, stream: TcpStream, received: &mut Vec<String>) {
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = stream;
        loop {
            let mut length = [0; 4];
            if reader.read_exact(&mut length).is_err() {
                return;
            }
            let mut content = vec![0; u32::from_be_bytes(length) as usize];
            if content.is_empty() || reader.read_exact(&mut content).is_err() {
                return;
            }
            let (kind, remaining) = (content[0], &content[1..]);
            let goes_on = match kind {
                b'G' => write(&writer, &frame(b'G', b"OK")),
                b'T' => write(&writer, &frame(b'T', b"-")),
                b'A' => {
                    let id = String::from_utf8_lossy(remaining).into_owned();
                    self.with_ledger(|ledger| ledger.cancelled.push(id));
                    true
                }
                b'R' => match parse_parts(remaining) {
                    Ok(parse_parts) => {
                        received.extend(parse_parts.iter().map(|p| p.id.clone()));
                        parse_parts.into_iter().all(|part| self.take(&writer, part))
                    }
                    Err(error) => {
                        write(&writer, &frame(b'N', error.to_string().as_bytes()));
                        false
                    }
                },
                _ => false,
            };
            if !goes_on {
                let _ = reader.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    /// Carries out the outcome that the script chooses; `false`: the connection ends.
    fn take(&self, writer: &Arc<Mutex<TcpStream>>, part: PartRequest) -> bool {
        let fate = (self.script.lock().unwrap_or_else(|e| e.into_inner()))(&part);
        self.with_ledger(|ledger| ledger.received.push(part.clone()));
        self.is_past_target(part.query());
        match fate {
            PartOutcome::NoResponse => true,
            PartOutcome::Disconnect => false,
            PartOutcome::Error => write(
                writer,
                &frame(b'Y', format!("{} ERROR - -\n", part.id).as_bytes()),
            ),
            PartOutcome::Reject => write(
                writer,
                &frame(b'Y', format!("{} REJECTED - -\n", part.id).as_bytes()),
            ),
            PartOutcome::Malformed => write(writer, &frame(b'Y', b"what\n")),
            PartOutcome::Respond(score, after) => {
                let (node, writer) = (self.clone(), writer.clone());
                let before = self.cancellation_count(&part.id);
                let due = Instant::now() + Duration::from_millis(after);
                thread::spawn(move || {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    // Cancelled meanwhile; an earlier attempt may have been cancelled, too.
                    if node.cancellation_count(&part.id) > before {
                        return;
                    }
                    let late = after > part.wait_ms;
                    if node.is_past_target(part.query()) {
                        node.with_ledger(|l| l.after_target.push(part.id.clone()));
                    }
                    let value = format!("{} OK {score} -\nv{}", part.id, part.shard);
                    // Recorded before it is sent, so that a test that has the response finds it in the ledger.
                    node.with_ledger(|l| {
                        if late { &mut l.late } else { &mut l.responded }.push(part.id)
                    });
                    write(&writer, &frame(b'Y', value.as_bytes()));
                });
                true
            }
        }
    }
}

fn write(writer: &Mutex<TcpStream>, bytes: &[u8]) -> bool {
    writer
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .write_all(bytes)
        .is_ok()
}

#[cfg(test)]
mod tests;
