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
use std::time::{Duration, Instant};

/// Patience of all waits.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// A group of control machines.
pub struct Fleet {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    /// Ports of all machines: for callers, and for each other.
    ports: (u16, u16),
    net: u16,
}

/// A control machine.
pub struct Machine {
    pub ip: String,
    pub control_plane: SocketAddr,
    pub internal: SocketAddr,
    pub folder: PathBuf,
    pub disk: bool,
    process: Option<Child>,
}

static NETS: AtomicU16 = AtomicU16::new(0);

impl Fleet {
    /// Machines that have not started yet.
    pub fn of(name: &str, disks: &[bool]) -> Fleet {
        let net = (std::process::id() as u16 % 200) * 8 + NETS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("lichenswitch-fleet-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        let ips: Vec<String> = (1..=disks.len())
            .map(|n| format!("127.{}.{}.{n}", 1 + net / 250, 1 + net % 250))
            .collect();
        let ports = free_ports(&ips);
        let machine = |(ip, disk): (&String, &bool)| Machine {
            ip: ip.clone(),
            control_plane: format!("{ip}:{}", ports.0).parse().unwrap(),
            internal: format!("{ip}:{}", ports.1).parse().unwrap(),
            folder: folder.join(ip),
            disk: *disk,
            process: None,
        };
        let machines = ips.iter().zip(disks).map(machine).collect();
        Fleet {
            folder,
            machines,
            ports,
            net,
        }
    }

    /// Starts all machines for the first time.
    pub fn start_first(&mut self) {
        for place in 0..self.machines.len() {
            self.start(place, true);
        }
    }

    /// Starts one machine.
    pub fn start(&mut self, place: usize, first: bool) {
        let seeds = self
            .machines
            .iter()
            .take(3)
            .map(|m| format!("\"{}\"", m.control_plane))
            .collect::<Vec<_>>();
        let machine = &mut self.machines[place];
        fs::create_dir_all(machine.folder.join("data")).unwrap();
        let settings = settings(machine, self.ports, &seeds.join(","), first);
        let path = machine.folder.join("settings.toml");
        fs::write(&path, settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(machine.folder.join("log"))
            .unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_lichenswitch-fleet"))
            .arg("control")
            .env("LICHENSWITCH_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        machine.process = Some(process);
    }

    /// Ends a machine without warning.
    pub fn kill(&mut self, place: usize) {
        let mut process = self.machines[place].process.take().unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Whether a machine was started and not ended since.
    pub fn is_running(&self, place: usize) -> bool {
        self.machines[place].process.is_some()
    }

    /// Empties the disk of a machine that does not run.
    pub fn wipe(&mut self, place: usize) {
        assert!(self.machines[place].process.is_none());
        fs::remove_dir_all(self.machines[place].folder.join("data")).unwrap();
    }

    /// Tells a machine that its settings have changed, with other seeds.
    pub fn reload(&mut self, place: usize, seeds: &[SocketAddr]) {
        let machine = &self.machines[place];
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

    /// Tells a machine to end, and waits for it.
    pub fn stop(&mut self, place: usize) -> (ExitStatus, Duration) {
        let mut process = self.machines[place].process.take().unwrap();
        let began = Instant::now();
        signal(&process, "TERM");
        let status = process.wait().unwrap();
        (status, began.elapsed())
    }

    /// Freezes a machine, or lets it go on.
    pub fn freeze(&mut self, place: usize, frozen: bool) {
        signal(
            self.machines[place].process.as_ref().unwrap(),
            if frozen { "STOP" } else { "CONT" },
        );
    }

    /// Sends an order to the machines in turn until one gives a clear answer, as operators do.
    pub fn order(&self, path: &str, base: u64, body: &str) -> Answer {
        let began = Instant::now();
        let mut place = 0;
        while began.elapsed() < PATIENCE {
            let machine = &self.machines[place % self.machines.len()];
            match order(machine.control_plane, path, base, body) {
                Ok(answer) if answer.status != 503 => return answer,
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
            place += 1;
        }
        panic!(
            "no clear answer to an order; logs in {}",
            self.folder.display()
        );
    }

    /// Reads the configuration from one machine, with patience.
    pub fn describe(&self, place: usize) -> String {
        let address = self.machines[place].control_plane;
        let answer = wait_for("describe", || {
            call(address, "GET", "/configuration/describe", &[], "")
                .ok()
                .filter(|a| a.status == 200)
        });
        answer.body
    }

    /// The status of one machine.
    pub fn status(&self, place: usize) -> String {
        call(
            self.machines[place].control_plane,
            "GET",
            "/status",
            &[],
            "",
        )
        .map(|a| a.body)
        .unwrap_or_default()
    }

    /// Which machine is the primary, once all of these agree.
    pub fn primary(&self, places: &[usize]) -> usize {
        wait_for("a primary", || {
            let named = |place: &usize| text_of(&self.status(*place), "primary");
            let first = named(&places[0])
                .filter(|first| places.iter().all(|p| named(p).as_ref() == Some(first)))?;
            let found = self
                .machines
                .iter()
                .position(|machine| machine.internal.to_string() == first)?;
            places.contains(&found).then_some(found)
        })
    }

    /// Waits until a machine counts so many voters.
    pub fn await_voters(&self, place: usize, voters: usize) {
        wait_for(&format!("{voters} voters"), || {
            (self.status(place).matches("\"votes\":true").count() == voters).then_some(())
        });
    }

    /// Waits until all machines vote with the disks that they have now, and none else does.
    pub fn await_whole(&self) {
        let places: Vec<usize> = (0..self.machines.len()).collect();
        wait_for("all machines vote", || {
            let identities: Vec<String> = places
                .iter()
                .filter_map(|place| text_of(&self.status(*place), "identity"))
                .collect();
            let primary = places
                .iter()
                .map(|place| self.status(*place))
                .find(|status| status.contains("\"role\":\"primary\""))?;
            let line = |identity: &String| format!("\"identity\":\"{identity}\",\"address\"");
            let votes = identities.len() == places.len()
                && identities
                    .iter()
                    .all(|identity| primary.contains(&line(identity)));
            (votes && primary.matches("\"votes\":true").count() == places.len()).then_some(())
        });
    }
}

impl Drop for Fleet {
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
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(process.id().to_string())
        .status()
        .unwrap();
    assert!(sent.success());
}

fn settings(machine: &Machine, ports: (u16, u16), seeds: &str, first: bool) -> String {
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

/// Two ports that are free at all addresses.
fn free_ports(ips: &[String]) -> (u16, u16) {
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

/// Asks again and again until there is an answer.
pub fn wait_for<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        if let Some(found) = ask() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{what}: not within {PATIENCE:?}");
}

/// What a call was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends an order to one machine.
pub fn order(address: SocketAddr, path: &str, base: u64, body: &str) -> io::Result<Answer> {
    call(
        address,
        "POST",
        path,
        &[format!("Base-Version: {base}")],
        body,
    )
}

/// A call on a connection of its own. A second of silence is an error, as for operators.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[String],
    body: &str,
) -> io::Result<Answer> {
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
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let (Some(status), Some((_, body))) = (status, answer.split_once("\r\n\r\n")) else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    Ok(Answer {
        status,
        body: body.to_owned(),
    })
}

/// A heartbeat of a server.
pub fn beat(address: SocketAddr, instance: &str, state: &str, sequence: u64) -> io::Result<Answer> {
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

/// The text of a field of JSON, where it stands first.
pub fn text_of(json: &str, field: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{field}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_owned())
}

/// A configuration with so many routes.
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
    /// Connects and says who it is.
    pub fn connect(address: SocketAddr, node: &str) -> FakeRouter {
        let stream = wait_for("a control machine", || TcpStream::connect(address).ok());
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut router = FakeRouter {
            stream,
            reader: EnvelopeReader::default(),
        };
        router.say(RouterToControl::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: node.to_owned(),
            zone: "a".to_owned(),
            process: node.len() as u64,
            configuration: None,
        });
        router
    }

    pub fn say(&mut self, message: RouterToControl) {
        self.stream
            .write_all(&encode(&Envelope::FromRouter(message)).unwrap())
            .unwrap();
    }

    pub fn say_of_tenants(&mut self, message: &TenantMessage) {
        self.stream
            .write_all(&encode_tenant_message(message).unwrap())
            .unwrap();
    }

    pub fn next(&mut self) -> ControlToRouter {
        loop {
            match self.next_message() {
                Incoming::Envelope(Envelope::ToRouter(message)) => return message,
                // Other routers may have something that waits.
                Incoming::Backlog(_) => {}
                other => panic!("not for a router: {other:?}"),
            }
        }
    }

    /// Says what waits at servers.
    pub fn say_backlogs(&mut self, servers: &[(u32, u32)]) {
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

    /// Follows what is told of backlogs until it is this.
    pub fn await_backlogs(&mut self, known: &mut BTreeMap<u32, u32>, wanted: &[(u32, u32)]) {
        let wanted: BTreeMap<u32, u32> = wanted.iter().copied().collect();
        let began = Instant::now();
        while *known != wanted {
            assert!(
                began.elapsed() < PATIENCE,
                "{known:?} is known, not {wanted:?}"
            );
            // Heartbeats come all the while.
            if let Incoming::Backlog(report) = self.next_message() {
                if report.is_complete {
                    known.clear();
                }
                known.extend(report.servers.iter().map(|of| (of.server, of.tokens)));
                known.retain(|_, tokens| *tokens > 0);
            }
        }
    }

    /// The next message about tenants that comes within a time.
    pub fn next_of_tenants(&mut self, time: Duration) -> Option<TenantMessage> {
        let began = Instant::now();
        while began.elapsed() < time {
            // Heartbeats come all the while.
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

    /// The next message of a kind.
    pub fn next_of<T>(&mut self, mut pick: impl FnMut(ControlToRouter) -> Option<T>) -> T {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some(found) = pick(self.next()) {
                return found;
            }
        }
        panic!("nothing of the kind came");
    }
}

/// The lines of a machine's log.
pub fn log_of(machine: &Machine) -> String {
    fs::read_to_string(Path::new(&machine.folder).join("log")).unwrap_or_default()
}
