//! Control machines as real processes on loopback addresses, and callers of them.
#![allow(dead_code)]

use lichenswitch_fleet::envelopes::{
    encode, encode_backlog_report, encode_tenant_message, EnvelopeReader, Incoming,
};
use lichenswitch_messages::{
    BacklogReport, ControlToRouter, Envelope, RouterToControl, ServerBacklog, TenantMessage,
    PROTOCOL_VERSION,
};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of all waits.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A group of control machines.
pub struct ControlFleet {
    pub folder: PathBuf,
    pub machines: Vec<ControlProcess>,
    /// Ports of all machines: for callers, and for each other.
    ports: (u16, u16),
    net: u16,
    /// Keeps the network of its addresses from the tests of other processes.
    _claim: TcpListener,
}

/// A control machine.
pub struct ControlProcess {
    pub ip: String,
    pub control_plane: SocketAddr,
    pub internal: SocketAddr,
    pub folder: PathBuf,
    pub disk: bool,
    process: Option<Child>,
}

static NETS: AtomicU16 = AtomicU16::new(0);

/// Networks `127.x.y.0` that tests may use.
const NET_COUNT: u16 = 1_600;
/// Port at `127.x.y.254` by which a network is claimed, here and by `lichenswitch-emulators`.
const CLAIM_PORT: u16 = 8_261;

/// A network that no other test uses for as long as the listener lives. Process ids alone don't tell
/// tests apart: two of them may come to the same network, and then one takes a port of the other.
fn claim_net() -> (u16, TcpListener) {
    let first = (std::process::id() as u16 % 200) * 8 + NETS.fetch_add(1, Ordering::Relaxed);
    (0..NET_COUNT)
        .map(|offset| (first + offset) % NET_COUNT)
        .find_map(|net| {
            let address = format!("127.{}.{}.254", 1 + net / 250, 1 + net % 250);
            let claim = TcpListener::bind((address.as_str(), CLAIM_PORT)).ok()?;
            Some((net, claim))
        })
        .expect("a network of loopback is free")
}

impl ControlFleet {
    /// Machines that are not started yet, one for each entry of `disks`.
    pub fn of(name: &str, disks: &[bool]) -> ControlFleet {
        let (net, claim) = claim_net();
        // Two tests of one process may choose the same name; the network is each one's own.
        let folder = std::env::temp_dir().join(format!(
            "lichenswitch-fleet-{name}-{}-{net}",
            std::process::id()
        ));
        let _ = fs::remove_dir_all(&folder);
        let ips: Vec<String> = (1..=disks.len())
            .map(|n| format!("127.{}.{}.{n}", 1 + net / 250, 1 + net % 250))
            .collect();
        let ports = free_ports(&ips);
        let machine = |(ip, disk): (&String, &bool)| ControlProcess {
            ip: ip.clone(),
            control_plane: format!("{ip}:{}", ports.0).parse().unwrap(),
            internal: format!("{ip}:{}", ports.1).parse().unwrap(),
            folder: folder.join(ip),
            disk: *disk,
            process: None,
        };
        let machines = ips.iter().zip(disks).map(machine).collect();
        ControlFleet {
            folder,
            machines,
            ports,
            net,
            _claim: claim,
        }
    }

    /// Starts all machines for the first time.
    pub fn start_first(&mut self) {
        for index in 0..self.machines.len() {
            self.start(index, true);
        }
    }

    /// Starts one machine.
    pub fn start(&mut self, index: usize, first: bool) {
        let seeds = self
            .machines
            .iter()
            .take(3)
            .map(|m| format!("\"{}\"", m.control_plane))
            .collect::<Vec<_>>();
        let machine = &mut self.machines[index];
        fs::create_dir_all(machine.folder.join("data")).unwrap();
        let settings = settings(machine, self.ports, &seeds.join(","), first);
        let path = machine.folder.join("settings.toml");
        fs::write(&path, settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(machine.folder.join("log"))
            .unwrap();
        let _no_probe = port_probe_lock();
        let process = Command::new(env!("CARGO_BIN_EXE_lichenswitch-fleet"))
            .arg("control")
            .env("LICHENSWITCH_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        machine.process = Some(process);
    }

    /// Kills a machine.
    pub fn kill(&mut self, index: usize) {
        let mut process = self.machines[index].process.take().unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Whether a machine runs.
    pub fn is_running(&self, index: usize) -> bool {
        self.machines[index].process.is_some()
    }

    /// Empties the disk of a machine that does not run.
    pub fn wipe(&mut self, index: usize) {
        assert!(self.machines[index].process.is_none());
        fs::remove_dir_all(self.machines[index].folder.join("data")).unwrap();
    }

    /// Changes the seeds of a machine, and signals it to read its settings again.
    pub fn reload(&mut self, index: usize, seeds: &[SocketAddr]) {
        let machine = &self.machines[index];
        let seeds = seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect::<Vec<_>>()
            .join(",");
        fs::write(
            machine.folder.join("settings.toml"),
            settings(machine, self.ports, &seeds, false),
        )
        .unwrap();
        signal(machine.process.as_ref().unwrap(), "HUP");
    }

    /// Terminates a machine, and waits for its exit.
    pub fn stop(&mut self, index: usize) -> (ExitStatus, Duration) {
        let mut process = self.machines[index].process.take().unwrap();
        let started_at = Instant::now();
        signal(&process, "TERM");
        let status = process.wait().unwrap();
        (status, started_at.elapsed())
    }

    /// Freezes a machine, or resumes it.
    pub fn freeze(&mut self, index: usize, frozen: bool) {
        signal(
            self.machines[index].process.as_ref().unwrap(),
            if frozen { "STOP" } else { "CONT" },
        );
    }

    /// Sends an order to the machines in turn until one gives a definite response, as operators do.
    pub fn send_order(&self, path: &str, base: u64, body: &str) -> HttpResponse {
        let started_at = Instant::now();
        let mut index = 0;
        while started_at.elapsed() < WAIT_TIMEOUT {
            let machine = &self.machines[index % self.machines.len()];
            match send_order(machine.control_plane, path, base, body) {
                Ok(response) if response.status != 503 => return response,
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
            index += 1;
        }
        panic!(
            "no clear answer to an order; logs in {}",
            self.folder.display()
        );
    }

    /// Reads the configuration from one machine, and retries until it succeeds.
    pub fn describe(&self, index: usize) -> String {
        let address = self.machines[index].control_plane;
        let response = wait_for("describe", || {
            call(address, "GET", "/configuration/describe", &[], "")
                .ok()
                .filter(|a| a.status == 200)
        });
        response.body
    }

    /// The status of one machine.
    pub fn status(&self, index: usize) -> String {
        call(
            self.machines[index].control_plane,
            "GET",
            "/status",
            &[],
            "",
        )
        .map(|a| a.body)
        .unwrap_or_default()
    }

    /// The index of the primary, once all of these machines agree on it.
    pub fn primary(&self, indices: &[usize]) -> usize {
        wait_for("a primary", || {
            let named = |index: &usize| text_of(&self.status(*index), "primary");
            let first = named(&indices[0])
                .filter(|first| indices.iter().all(|p| named(p).as_ref() == Some(first)))?;
            let found = self
                .machines
                .iter()
                .position(|machine| machine.internal.to_string() == first)?;
            indices.contains(&found).then_some(found)
        })
    }

    /// Waits until a machine reports this number of voters.
    pub fn await_voters(&self, index: usize, voters: usize) {
        wait_for(&format!("{voters} voters"), || {
            (self.status(index).matches("\"votes\":true").count() == voters).then_some(())
        });
    }

    /// Waits until the voters are all machines, each with its present disk, and no others.
    pub fn await_all_voters(&self) {
        let indices: Vec<usize> = (0..self.machines.len()).collect();
        wait_for("all machines vote", || {
            let identities: Vec<String> = indices
                .iter()
                .filter_map(|index| text_of(&self.status(*index), "identity"))
                .collect();
            let primary = indices
                .iter()
                .map(|index| self.status(*index))
                .find(|status| status.contains("\"role\":\"primary\""))?;
            let line = |identity: &String| format!("\"identity\":\"{identity}\",\"address\"");
            let votes = identities.len() == indices.len()
                && identities
                    .iter()
                    .all(|identity| primary.contains(&line(identity)));
            (votes && primary.matches("\"votes\":true").count() == indices.len()).then_some(())
        });
    }
}

impl Drop for ControlFleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if !std::thread::panicking() && std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn signal(process: &Child, name: &str) {
    let _no_probe = port_probe_lock();
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(process.id().to_string())
        .status()
        .unwrap();
    assert!(sent.success());
}

fn settings(machine: &ControlProcess, ports: (u16, u16), seeds: &str, first: bool) -> String {
    let data = machine.folder.join("data");
    let disk = if machine.disk {
        format!("dataDirectory = {:?}\n", data.display().to_string())
    } else {
        String::new()
    };
    format!(
        "nodeName = \"edge-{ip}\"\nrole = \"control\"\nipAddress = \"{ip}\"\nzone = \"a\"\ninternalPortRange = [{internal}, {internal}]\n\
         seedNodes = [{seeds}]\nfirstStart = {first}\nlossCounted = {counted}\n{disk}heartbeatIntervalMs = 1200\n\
         [listenAddresses]\ncontrolPlane = \"{control_plane}\"\n[limits]\nfileDescriptors = 1000\n[faultTolerance]\nmachines = 1\n\
         [bounds]\ngracePeriodS = 8\n",
        ip = machine.ip,
        internal = ports.1,
        counted = machine.disk,
        control_plane = machine.control_plane,
    )
}

/// Taken while ports are probed and while a process is started. A process that is forked while another
/// test's probe is open has a copy of its socket until it begins to run its program: the port would
/// still be in use when the first machine of that test comes to listen on it.
fn port_probe_lock() -> MutexGuard<'static, ()> {
    static PROBES: Mutex<()> = Mutex::new(());
    PROBES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Two ports that are free at all addresses.
fn free_ports(ips: &[String]) -> (u16, u16) {
    let _no_fork = port_probe_lock();
    let free = || {
        let first = TcpListener::bind((ips[0].as_str(), 0)).unwrap();
        let port = first.local_addr().unwrap().port();
        ips[1..]
            .iter()
            .all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok())
            .then_some(port)
    };
    let one = std::iter::repeat_with(free).flatten().next().unwrap();
    let other = std::iter::repeat_with(free)
        .flatten()
        .find(|port| *port != one)
        .unwrap();
    (one, other)
}

/// Polls until there is a result.
pub fn wait_for<T>(what: &str, mut call_once: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    while started_at.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = call_once() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{what}: not within {WAIT_TIMEOUT:?}");
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    pub status: u16,
    pub body: String,
}

/// Sends an order to one machine.
pub fn send_order(
    address: SocketAddr,
    path: &str,
    base: u64,
    body: &str,
) -> io::Result<HttpResponse> {
    call(
        address,
        "POST",
        path,
        &[format!("Base-Version: {base}")],
        body,
    )
}

/// A call on a new connection. A second without a response is an error, as for operators.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[String],
    body: &str,
) -> io::Result<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    headers
        .iter()
        .for_each(|header| head.push_str(&format!("{header}\r\n")));
    stream.write_all(format!("{head}\r\n{body}").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let (Some(status), Some((_, body))) = (status, response.split_once("\r\n\r\n")) else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    Ok(HttpResponse {
        status,
        body: body.to_owned(),
    })
}

/// A heartbeat of a server.
pub fn send_heartbeat(
    address: SocketAddr,
    instance: &str,
    state: &str,
    sequence: u64,
) -> io::Result<HttpResponse> {
    let body = format!(
        "{{\"service\":\"pool\",\"address\":\"10.0.0.9:{}\",\"zone\":\"a\",\"version\":\"v1\",\"capacitySlots\":4,\"state\":\"{state}\",\
         \"coldRemainingMs\":0,\"sequenceNumber\":{sequence}}}",
        8000 + instance.len()
    );
    call(
        address,
        "POST",
        &format!("/instances/{instance}/heartbeat"),
        &[],
        &body,
    )
}

/// The first text field of this name in JSON.
pub fn text_of(json: &str, field: &str) -> Option<String> {
    let delay = json.split_once(&format!("\"{field}\":\""))?.1;
    Some(delay.split_once('"')?.0.to_owned())
}

/// A configuration with this number of routes.
pub fn configuration(version: u64, routes: usize) -> String {
    let routes: Vec<String> = (0..routes)
        .map(|n| {
            format!(
                "{{\"name\":\"r-{n}\",\"host\":\"h.example\",\"pathPrefix\":\"/p{n}/\",\"kind\":\"safe\",\"timeoutMs\":3000,\
                 \"targetLatencyMs\":500,\"priority\":0,\"service\":\"pool\",\"maxAttempts\":2}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"healthCheckPath\":\"/health\",\"maxConnections\":30,\
         \"protocol\":\"h1\",\"tlsEnabled\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A router, as far as control machines see it.
pub struct FakeRouter {
    stream: TcpStream,
    reader: EnvelopeReader,
}

impl FakeRouter {
    /// Connects, and sends the handshake.
    pub fn connect(address: SocketAddr, node: &str) -> FakeRouter {
        let stream = wait_for("a control machine", || TcpStream::connect(address).ok());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut router = FakeRouter {
            stream,
            reader: EnvelopeReader::default(),
        };
        router.send(RouterToControl::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: node.to_owned(),
            zone: "a".to_owned(),
            process: node.len() as u64,
            configuration: None,
        });
        router
    }

    pub fn send(&mut self, message: RouterToControl) {
        self.stream
            .write_all(&encode(&Envelope::FromRouter(message)).unwrap())
            .unwrap();
    }

    pub fn send_tenant_message(&mut self, message: &TenantMessage) {
        self.stream
            .write_all(&encode_tenant_message(message).unwrap())
            .unwrap();
    }

    pub fn next(&mut self) -> ControlToRouter {
        loop {
            match self.next_message() {
                Incoming::Envelope(Envelope::ToRouter(message)) => return message,
                // Backlogs of other routers' requests.
                Incoming::Backlog(_) => {}
                other => panic!("not for a router: {other:?}"),
            }
        }
    }

    /// Reports backlogs of servers.
    pub fn send_backlogs(&mut self, servers: &[(u32, u32)]) {
        let servers = servers.iter().map(|(server, tokens)| ServerBacklog {
            server: *server,
            tokens: *tokens,
        });
        let report = BacklogReport {
            is_complete: false,
            servers: servers.collect(),
        };
        self.stream
            .write_all(&encode_backlog_report(&report).unwrap())
            .unwrap();
    }

    /// Applies reports of backlogs until they add up to `expected`.
    pub fn await_backlogs(&mut self, known: &mut BTreeMap<u32, u32>, expected: &[(u32, u32)]) {
        let expected: BTreeMap<u32, u32> = expected.iter().copied().collect();
        let started_at = Instant::now();
        while *known != expected {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{known:?} is known, not {expected:?}"
            );
            // Heartbeats arrive in between.
            if let Incoming::Backlog(report) = self.next_message() {
                if report.is_complete {
                    known.clear();
                }
                known.extend(report.servers.iter().map(|of| (of.server, of.tokens)));
                known.retain(|_, tokens| *tokens > 0);
            }
        }
    }

    /// The next message about tenants that arrives within a time.
    pub fn next_tenant_message(&mut self, time: Duration) -> Option<TenantMessage> {
        let started_at = Instant::now();
        while started_at.elapsed() < time {
            // Heartbeats arrive in between.
            if let Incoming::Tenant(message) = self.next_message() {
                return Some(message);
            }
        }
        None
    }

    fn next_message(&mut self) -> Incoming {
        loop {
            if let Some(message) = self.reader.next_message().unwrap() {
                return message;
            }
            let mut bytes = [0; 4_096];
            let count = self.stream.read(&mut bytes).unwrap();
            assert!(count > 0, "the control machine has closed the connection");
            self.reader.push(&bytes[..count]);
        }
    }

    /// The next message that matches.
    pub fn next_matching<T>(&mut self, mut pick: impl FnMut(ControlToRouter) -> Option<T>) -> T {
        let started_at = Instant::now();
        while started_at.elapsed() < WAIT_TIMEOUT {
            if let Some(found) = pick(self.next()) {
                return found;
            }
        }
        panic!("nothing of the kind came");
    }
}

/// The lines of a machine's log.
pub fn log_of(machine: &ControlProcess) -> String {
    fs::read_to_string(Path::new(&machine.folder).join("log")).unwrap_or_default()
}
