//! A data node that speaks frames: a length, a letter and the rest. It answers parts by a script
//! that tells first and second phase apart, and accounts for what it answered, what was given up
//! and what came too late.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// What becomes of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// Answered with this score after so many milliseconds.
    Answer(f64, u64),
    /// Never answered.
    Hang,
    /// Answered with an error.
    Error,
    /// Turned away unseen.
    Reject,
    /// The connection breaks.
    Break,
    /// Answered with bytes that make no sense.
    Spoil,
}

/// A part that came.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Its id: the query's, a dot, the shard, and `.get` in the second phase.
    pub id: String,
    /// Its shard.
    pub shard: u32,
    /// How long the broker waits, milliseconds.
    pub wait: u64,
    /// Shards that were in, in the second phase.
    pub from: Option<Vec<u32>>,
}

impl Part {
    /// The id of its query.
    #[must_use]
    pub fn query(&self) -> &str {
        self.id.split('.').next().unwrap_or_default()
    }
}

/// What a data node did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Parts that came, in order.
    pub came: Vec<Part>,
    /// Ids that were answered well.
    pub answered: Vec<String>,
    /// Ids that were given up by the broker, by word or by the end of their connection.
    pub given_up: Vec<String>,
    /// Ids whose answer was due later than the broker waits.
    pub late: Vec<String>,
    /// Ids that were answered after the aim of their query, where the node was told one.
    pub after_aim: Vec<String>,
}

/// The aim of queries, and when the first part of each came.
#[derive(Default)]
struct Aims {
    aim: Option<Duration>,
    began: HashMap<String, Instant>,
}

type Script = Arc<Mutex<Box<dyn FnMut(&Part) -> Fate + Send>>>;

/// A data node that runs in threads of its own for as long as the process.
#[derive(Clone)]
pub struct Node {
    /// Where it listens.
    pub address: SocketAddr,
    script: Script,
    ledger: Arc<Mutex<Ledger>>,
    aims: Arc<Mutex<Aims>>,
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    out.push(letter);
    out.extend_from_slice(rest);
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
fn parts(mut rest: &[u8]) -> Result<Vec<Part>, CallError> {
    let mut found = Vec::new();
    while !rest.is_empty() {
        let end = rest
            .iter()
            .position(|&b| b == b'\n')
            .ok_or(CallError::MissingLine)?;
        let line = std::str::from_utf8(&rest[..end])?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else {
            return Err(CallError::Line(line.into()));
        };
        let item = |name: &str| list.split(',').find_map(|i| i.strip_prefix(name));
        let number = |text: &str| {
            text.parse::<u64>().map_err(|_| CallError::Number {
                text: text.into(),
                line: line.into(),
            })
        };
        let from = item("from=").map(|all| all.split('+').filter_map(|s| s.parse().ok()).collect());
        let length = number(length)? as usize;
        found.push(Part {
            id: id.into(),
            shard: number(shard)? as u32,
            wait: number(item("d=").ok_or(CallError::MissingWait)?)?,
            from,
        });
        rest = rest.get(end + 1 + length..).ok_or(CallError::CutShort)?;
    }
    Ok(found)
}

impl Node {
    /// Starts a data node with a script.
    ///
    /// # Errors
    /// When no address of loopback can be listened on.
    pub fn start(script: impl FnMut(&Part) -> Fate + Send + 'static) -> std::io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let script: Script = Arc::new(Mutex::new(Box::new(script)));
        let node = Node {
            address,
            script,
            ledger: Arc::default(),
            aims: Arc::default(),
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

    /// From now on it notes what it answers later than this after the first part of a query came to
    /// it.
    pub fn note_aim(&self, aim: Duration) {
        self.aims.lock().unwrap_or_else(|e| e.into_inner()).aim = Some(aim);
    }

    /// Whether the aim of a query has passed; its first part begins it.
    fn past_aim(&self, query: &str) -> bool {
        let mut aims = self.aims.lock().unwrap_or_else(|e| e.into_inner());
        let began = *aims.began.entry(query.into()).or_insert_with(Instant::now);
        aims.aim.is_some_and(|aim| began.elapsed() > aim)
    }

    /// What it did so far.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.books(|ledger| ledger.clone())
    }

    fn books<T>(&self, with: impl FnOnce(&mut Ledger) -> T) -> T {
        with(&mut self.ledger.lock().unwrap_or_else(|e| e.into_inner()))
    }

    fn times_given_up(&self, id: &str) -> usize {
        self.books(|ledger| ledger.given_up.iter().filter(|g| *g == id).count())
    }

    /// Serves a connection; with its end all that is out on it is given up.
    fn serve(&self, stream: TcpStream) {
        let mut came = Vec::new();
        self.read(stream, &mut came);
        self.books(|ledger| {
            let done = |id: &String| {
                [&ledger.answered, &ledger.late, &ledger.given_up]
                    .iter()
                    .any(|l| l.contains(id))
            };
            let left: Vec<String> = came.into_iter().filter(|id| !done(id)).collect();
            ledger.given_up.extend(left);
        });
    }

    fn read(&self, stream: TcpStream, came: &mut Vec<String>) {
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
            let (letter, rest) = (content[0], &content[1..]);
            let goes_on = match letter {
                b'G' => write(&writer, &frame(b'G', b"OK")),
                b'T' => write(&writer, &frame(b'T', b"-")),
                b'A' => {
                    let id = String::from_utf8_lossy(rest).into_owned();
                    self.books(|ledger| ledger.given_up.push(id));
                    true
                }
                b'R' => match parts(rest) {
                    Ok(parts) => {
                        came.extend(parts.iter().map(|p| p.id.clone()));
                        parts.into_iter().all(|part| self.take(&writer, part))
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

    /// Does with a part what the script says; `false`: the connection ends.
    fn take(&self, writer: &Arc<Mutex<TcpStream>>, part: Part) -> bool {
        let fate = (self.script.lock().unwrap_or_else(|e| e.into_inner()))(&part);
        self.books(|ledger| ledger.came.push(part.clone()));
        self.past_aim(part.query());
        match fate {
            Fate::Hang => true,
            Fate::Break => false,
            Fate::Error => write(
                writer,
                &frame(b'Y', format!("{} ERROR - -\n", part.id).as_bytes()),
            ),
            Fate::Reject => write(
                writer,
                &frame(b'Y', format!("{} REJECTED - -\n", part.id).as_bytes()),
            ),
            Fate::Spoil => write(writer, &frame(b'Y', b"what\n")),
            Fate::Answer(score, after) => {
                let (node, writer) = (self.clone(), writer.clone());
                let before = self.times_given_up(&part.id);
                let due = Instant::now() + Duration::from_millis(after);
                thread::spawn(move || {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    // Given up since; an attempt before this one may have been, too.
                    if node.times_given_up(&part.id) > before {
                        return;
                    }
                    let late = after > part.wait;
                    if node.past_aim(part.query()) {
                        node.books(|l| l.after_aim.push(part.id.clone()));
                    }
                    let value = format!("{} OK {score} -\nv{}", part.id, part.shard);
                    // Noted first: whoever has the answer finds it in the ledger.
                    node.books(|l| if late { &mut l.late } else { &mut l.answered }.push(part.id));
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
