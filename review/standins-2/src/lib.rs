//! Stand-ins for the second review's scripts: a small fleet of real processes, model servers, an operator
//! and clients. Written from the pages alone; they share no code with the project.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const CONTROL: u16 = 8262;
pub const FRONT: u16 = 8263;
const READY: u16 = 8268;
const INTERNAL: u16 = 7300;

/// Lines of `record.txt`, each with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Vec<String>>, PathBuf)>);

impl Record {
    pub fn new(path: &str) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(Vec::new()), path.into())))
    }
    pub fn line(&self, text: &str) {
        let at = self.0 .0.elapsed().as_millis();
        self.0 .1.lock().unwrap().push(format!("{at:>7} {text}"));
    }
    /// A line that is shown as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
    pub fn save(&self) {
        let lines = self.0 .1.lock().unwrap().join("\n");
        let _ = std::fs::write(&self.0 .2, lines + "\n");
    }
}

/// Ends with 2: the case could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(&format!("the case could not run: {why}"));
    record.save();
    std::process::exit(2)
}

/// Whether the disruption is to be made: not with `TROUBLE=0`.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A fleet: a control process and a router on each machine, all on loopback.
pub struct Fleet {
    pub ips: Vec<String>,
    folder: PathBuf,
    commands: BTreeMap<String, Vec<String>>,
    pub processes: BTreeMap<(String, usize), Child>,
    bounds: String,
}

impl Fleet {
    /// Starts the fleet by the commands of `deploy/system.toml`. `bounds` is added to those of a small site.
    pub fn start(record: &Record, machines: usize, bounds: &str) -> Fleet {
        let Some(ips) = free_addresses(machines) else {
            cannot_run(record, "no free loopback addresses")
        };
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let mut fleet = Fleet {
            ips,
            folder,
            commands: deployed_commands(),
            processes: BTreeMap::new(),
            bounds: bounds.to_owned(),
        };
        for machine in 0..machines {
            if std::fs::create_dir_all(fleet.folder.join(format!("disk-{machine}"))).is_err() {
                cannot_run(record, "no folder for temporary files");
            }
        }
        for machine in 0..machines {
            for role in ["control", "router"] {
                if !fleet.launch(role, machine, true) {
                    cannot_run(record, "the fleet's program is not built");
                }
            }
        }
        record.line(&format!("fleet started at {:?}", fleet.ips));
        fleet
    }

    pub fn launch(&mut self, role: &str, machine: usize, first: bool) -> bool {
        let settings = self.folder.join(format!("{role}-{machine}.toml"));
        let log = self.folder.join(format!("{role}-{machine}.log"));
        let Some(command) = self.commands.get(role).cloned() else { return false };
        if std::fs::write(&settings, self.settings(role, machine, first)).is_err() {
            return false;
        }
        let Ok(log) = std::fs::OpenOptions::new().create(true).append(true).open(log) else { return false };
        let Ok(other) = log.try_clone() else { return false };
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LICHENSWITCH_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(other)
            .spawn();
        match child {
            Ok(child) => {
                // run.sh ends what is left, however this program ends.
                if let Ok(path) = std::env::var("REVIEW_PIDS") {
                    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
                    let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
                }
                self.processes.insert((role.to_owned(), machine), child);
                true
            }
            Err(_) => false,
        }
    }

    /// Processor time that a process has used so far, in seconds.
    pub fn cpu_s(&self, role: &str, machine: usize) -> f64 {
        let Some(child) = self.processes.get(&(role.to_owned(), machine)) else { return 0.0 };
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Whether every process still runs.
    pub fn all_run(&mut self) -> bool {
        self.processes.values_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn settings(&self, role: &str, machine: usize, first: bool) -> String {
        let ip = &self.ips[machine];
        let seeds: Vec<String> = self.ips.iter().take(3).map(|ip| format!("\"{ip}:{CONTROL}\"")).collect();
        let zones: String = (0..self.ips.len()).map(|zone| format!("zone-{zone} = \"loopback\"\n")).collect();
        let (serves, listen, disk) = match role {
            "control" => (
                "control_plane",
                format!("controlPlane = \"{ip}:{CONTROL}\"\n"),
                format!("dataDirectory = {:?}\n", self.folder.join(format!("disk-{machine}")).display().to_string()),
            ),
            _ => (
                "edge",
                format!("frontend = \"{ip}:{FRONT}\"\nreadiness = \"{ip}:{READY}\"\n"),
                String::new(),
            ),
        };
        let mut text = String::new();
        let _ = write!(
            text,
            "nodeName = \"edge-zone-{machine}-1\"\nrole = \"{role}\"\nmachineClass = \"edge\"\nserves = [\"{serves}\"]\n\
             ipAddress = \"{ip}\"\nzone = \"zone-{machine}\"\nregion = \"loopback\"\ninternalPortRange = [{INTERNAL}, {}]\n\
             seedNodes = [{}]\nfirstStart = {first}\nlossCounted = true\n{disk}discovery = \"self_register\"\n\
             entryMode = \"virtual_ip\"\nheartbeatIntervalMs = 1200\n\
             activeContracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\"]\n\
             [zones]\n{zones}[listenAddresses]\n{listen}\
             [limits]\ncpuShare = 0.45\ncpuCores = 1\nmemoryMb = 260\nfileDescriptors = 4100\nbandwidthMbps = 1000.0\ndiskMb = 64\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainTimeoutMs = 2000\n\
             gracePeriodS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 58\nrecoveryS = 12\npass_ms = 120\nagain_s = 0\n{}",
            INTERNAL + 15,
            seeds.join(", "),
            self.bounds,
        );
        text
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
        }
        for child in self.processes.values_mut() {
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The command of each role in the deploy file.
fn deployed_commands() -> BTreeMap<String, Vec<String>> {
    let text = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let mut commands = BTreeMap::new();
    let mut role = String::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.").and_then(|rest| rest.strip_suffix(']')) {
            role = name.to_owned();
        } else if let Some(run) = line.strip_prefix("run = \"").and_then(|rest| rest.strip_suffix('"')) {
            commands.insert(role.clone(), run.split(' ').map(str::to_owned).collect());
        }
    }
    commands
}

/// Loopback addresses whose ports are free.
fn free_addresses(machines: usize) -> Option<Vec<String>> {
    let start = std::process::id();
    (0..200_u32).find_map(|step| {
        let (second, third) = (64 + (start / 7 + step) % 120, (start + step * 13) % 250);
        let ips: Vec<String> = (0..machines).map(|host| format!("127.{second}.{third}.{}", host + 2)).collect();
        let is_free = |ip: &String| {
            [CONTROL, FRONT, READY, INTERNAL].iter().all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        };
        ips.iter().all(is_free).then_some(ips)
    })
}

/// An answer, or why there was none.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub has_seal: bool,
    pub body: Vec<u8>,
}

/// Sends bytes on a new connection, and reads one answer.
pub fn exchange(to: &str, bytes: &[u8], wait: Duration) -> Result<Answer, String> {
    let address: SocketAddr = to.parse().map_err(|_| "address".to_owned())?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(|e| format!("connect: {e}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    stream.write_all(bytes).map_err(|e| format!("write: {e}"))?;
    let mut from = BufReader::new(stream);
    let (first, fields) = read_head(&mut from).map_err(|e| format!("read: {e}"))?.ok_or("closed")?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let length = fields.get("content-length").and_then(|l| String::from_utf8_lossy(l).parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).map_err(|e| format!("body: {e}"))?;
    Ok(Answer { status, has_seal: fields.contains_key("response-seal"), body })
}

type Fields = BTreeMap<String, Vec<u8>>;

/// The first line and the fields of a message, values as bytes; `None` at the end of the connection.
fn read_head(from: &mut impl BufRead) -> std::io::Result<Option<(String, Fields)>> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let first = String::from_utf8_lossy(&line).trim_end().to_owned();
    let mut fields = Fields::new();
    loop {
        line.clear();
        if from.read_until(b'\n', &mut line)? == 0 || line == b"\r\n" {
            return Ok(Some((first, fields)));
        }
        if let Some(colon) = line.iter().position(|byte| *byte == b':') {
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            fields.insert(name, line[colon + 1..].trim_ascii().to_vec());
        }
    }
}

/// A request that a server has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub tenant: Option<Vec<u8>>,
}

/// How a model server works.
#[derive(Clone, Copy)]
pub struct Manner {
    /// Requests that it works on at the same time; it turns away any more.
    pub slots: usize,
    pub work: Duration,
    /// Share of its answers that it gives once more, late, in the place where the next one is due.
    pub extra_share: f64,
}

impl Manner {
    pub fn sound() -> Manner {
        Manner { slots: 64, work: Duration::from_millis(20), extra_share: 0.0 }
    }
}

/// What all connections of a server share.
struct Shared {
    record: Record,
    instance: String,
    manner: Manner,
    runs: Arc<Mutex<Vec<Run>>>,
    working: AtomicUsize,
    random: Mutex<u64>,
}

impl Shared {
    /// Whether a thing of this probability happens.
    fn chance(&self, share: f64) -> bool {
        let mut state = self.random.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / ((1_u64 << 53) as f64) < share
    }
}

/// A model server: it registers, reads a request, runs it and answers.
pub struct Server {
    pub runs: Arc<Mutex<Vec<Run>>>,
    is_ended: Arc<AtomicBool>,
}

impl Server {
    /// A sound one.
    pub fn start(record: &Record, fleet: &Fleet, number: usize, service: &str) -> Server {
        Server::start_in(record, fleet, number, service, Manner::sound())
    }

    pub fn start_in(record: &Record, fleet: &Fleet, number: usize, service: &str, manner: Manner) -> Server {
        let base = fleet.ips[0].rsplit_once('.').map_or("127.0.0", |(base, _)| base);
        let Ok(listener) = TcpListener::bind(format!("{base}.{}:0", 100 + number)) else {
            cannot_run(record, "no address for a server")
        };
        let Ok(address) = listener.local_addr() else { cannot_run(record, "no address for a server") };
        let (runs, is_ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let instance = format!("i-{}-{number}", std::process::id());
        let shared = Arc::new(Shared {
            record: record.clone(),
            instance: instance.clone(),
            manner,
            runs: runs.clone(),
            working: AtomicUsize::new(0),
            random: Mutex::new(0x9e37_79b9_7f4a_7c15 ^ (u64::from(std::process::id()) << 20)),
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        let (controls, service, ended) = (fleet.ips.clone(), service.to_owned(), is_ended.clone());
        std::thread::spawn(move || {
            let mut sequence = 0;
            while !ended.load(Ordering::Relaxed) {
                sequence += 1;
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-0\",\"version\":\"v1\",\"capacitySlots\":64,\
                     \"state\":\"ready\",\"coldRemainingMs\":0,\"sequenceNumber\":{sequence}}}"
                );
                for try_number in 0..controls.len() {
                    let to = format!("{}:{CONTROL}", controls[(number + try_number) % controls.len()]);
                    let call = format!(
                        "POST /instances/{instance}/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if exchange(&to, call.as_bytes(), Duration::from_secs(1)).is_ok_and(|a| a.status / 100 == 2) {
                        break;
                    }
                }
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        Server { runs, is_ended }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut to) = stream.try_clone() else { return };
    let (manner, instance) = (shared.manner, &shared.instance);
    let mut from = BufReader::new(stream);
    // An answer that is to come once more, and its request.
    let mut extra: Option<(String, String)> = None;
    while let Ok(Some((_, fields))) = read_head(&mut from) {
        let text = |name: &str| fields.get(name).map(|value| String::from_utf8_lossy(value).into_owned());
        let mut body = vec![0; text("content-length").and_then(|l| l.parse().ok()).unwrap_or(0)];
        if from.read_exact(&mut body).is_err() {
            return;
        }
        let attempt = text("attempt-id").unwrap_or_default();
        if let Some((of, answer)) = extra.take() {
            shared.record.line(&format!("{instance} gives its answer to {of} once more, late, after it has read {attempt}"));
            if to.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
        let answer = if text("target-instance").is_some_and(|target| target != *instance) {
            format!("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        } else if shared.working.fetch_add(1, Ordering::SeqCst) >= manner.slots {
            shared.working.fetch_sub(1, Ordering::SeqCst);
            shared.record.line(&format!("{instance} is full and turns {attempt} away"));
            format!("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n")
        } else {
            shared.record.line(&format!("{instance} runs {attempt}"));
            shared.runs.lock().unwrap().push(Run { attempt: attempt.clone(), tenant: fields.get("tenant").cloned() });
            std::thread::sleep(manner.work);
            shared.working.fetch_sub(1, Ordering::SeqCst);
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {instance}.{attempt}\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nwhole"
            )
        };
        if to.write_all(answer.as_bytes()).is_err() {
            return;
        }
        if shared.chance(manner.extra_share) {
            extra = Some((attempt, answer));
        }
    }
}

/// Sends a whole configuration until it is acknowledged.
pub fn replace(record: &Record, fleet: &Fleet, base: u64, document: &str) {
    let call = format!(
        "POST /configuration/replace HTTP/1.1\r\nHost: control\r\nBase-Version: {base}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{document}",
        document.len()
    );
    let until = Instant::now() + Duration::from_secs(20);
    for step in 0.. {
        let to = format!("{}:{CONTROL}", fleet.ips[step % fleet.ips.len()]);
        match exchange(&to, call.as_bytes(), Duration::from_secs(2)) {
            Ok(answer) if answer.status == 200 => {
                return record.say(&format!("configuration on top of {base} acknowledged by {to}"));
            }
            Ok(answer) if matches!(answer.status, 400 | 412) => {
                let why = format!("the configuration was refused: {} {}", answer.status, String::from_utf8_lossy(&answer.body));
                cannot_run(record, &why)
            }
            _ if Instant::now() > until => cannot_run(record, "the configuration was not acknowledged in 20 s"),
            _ => std::thread::sleep(Duration::from_millis(150)),
        }
    }
}
