//! A router in a thread, with a scripted control machine.

use super::control::Control;
use super::server::Server;
use super::{holds_within, wait_until};
use lichenswitch_fleet::router::Router;
use lichenswitch_fleet::settings::Settings;
use lichenswitch_messages::{ServerRecord, ServerState};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A router with a scripted control machine.
pub struct RouterHarness {
    pub control: Control,
    pub router: RouterThread,
}

/// A router in a thread.
pub struct RouterThread {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    stop: UnixStream,
    reload: UnixStream,
    thread: Option<JoinHandle<Result<(), String>>>,
}

/// An address of loopback where connections are refused: its port is taken, and nobody listens.
///
/// A port that was merely free a moment ago may be another test's by the time that it is used.
pub struct RefusingAddress(Socket);

impl RefusingAddress {
    pub fn new() -> RefusingAddress {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
            .expect("bind");
        RefusingAddress(socket)
    }

    pub fn address(&self) -> SocketAddr {
        let address = self.0.local_addr().expect("address");
        address.as_socket().expect("an address of IPv4")
    }

    /// From now on connections are accepted there.
    pub fn listen(self) -> TcpListener {
        self.0.listen(128).expect("listen");
        self.0.into()
    }
}

/// An address of loopback that no other process is given, since it follows from the process id. Ports
/// below those that the system chooses are free there.
pub fn process_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 0b1100_0000 | high & 0b0011_1111, middle, low)
}

/// Text of a settings file for seeds at this internal port.
pub fn settings_text(seeds: &[Ipv4Addr], internal_port: u16, extra: &str) -> String {
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:1\"")).collect();
    format!(
        "nodeName = \"edge-1\"\nrole = \"router\"\nipAddress = \"127.0.0.1\"\nzone = \"z1\"\nregion = \"r\"\n\
         internalPortRange = [{internal_port}, {internal_port}]\nseedNodes = [{}]\n\
         [listenAddresses]\nfrontend = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\n\
         [limits]\ncpuShare = 0.5\nmemoryMb = 78\nfileDescriptors = 1000\n\
         [bounds]\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 200\ngracePeriodS = 8\n{extra}",
        seeds.join(", ")
    )
}

impl Drop for RouterThread {
    /// No test leaves a violated invariant behind.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            assert_eq!(
                lichenswitch_fleet::invariants::violations(),
                0,
                "an invariant was violated"
            );
        }
    }
}

impl RouterThread {
    pub fn start(text: &str, file: Option<PathBuf>) -> RouterThread {
        let settings = Settings::parse(text).expect("settings");
        let (stop, stopped) = UnixStream::pair().expect("pair");
        let (reload, reloaded) = UnixStream::pair().expect("pair");
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let mut router = Router::new(&settings, file).map_err(|e| e.to_string())?;
            router.stop_on(stopped).map_err(|e| e.to_string())?;
            router.reload_on(reloaded).map_err(|e| e.to_string())?;
            sender.send(router.addresses()).map_err(|e| e.to_string())?;
            router.serve().map_err(|e| e.to_string())
        });
        let (frontend, readiness) = receiver.recv().expect("the router starts");
        let readiness = readiness.expect("an address for readiness");
        RouterThread {
            frontend,
            readiness,
            stop,
            reload,
            thread: Some(thread),
        }
    }

    pub fn stop(&mut self) {
        self.stop.write_all(b"x").expect("stop");
    }

    pub fn reload(&mut self) {
        self.reload.write_all(b"x").expect("reload");
    }

    /// Whether the process would have ended by then.
    pub fn ends_within(&mut self, time: Duration) -> bool {
        let ended = holds_within(time, || {
            self.thread.as_ref().is_none_or(JoinHandle::is_finished)
        });
        if ended {
            if let Some(thread) = self.thread.take() {
                thread
                    .join()
                    .expect("the router does not panic")
                    .expect("the router ends well");
            }
        }
        ended
    }

    /// The status that the platform gets.
    pub fn readiness_status(&self) -> u16 {
        let mut client = super::client::Client::connect(self.readiness);
        client
            .round_trip("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            .status
    }
}

pub fn record(server: &Server, state: ServerState, sequence_number: u64) -> ServerRecord {
    ServerRecord {
        instance: server.instance.clone(),
        service: "pool".into(),
        address: server.address.to_string(),
        zone: "z1".into(),
        capacity_slots: 4,
        state,
        sequence_number,
        warm_up_remaining_ms: 0,
        is_suspect: false,
    }
}

/// A configuration with a route for each kind, all to the service `pool`.
pub fn document(version: u64, timeout_ms: u64, target_ms: u64, max_attempts: u32) -> String {
    let route = |name: &str, kind: &str, resume: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"fleet.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":0,\"service\":\"pool\",\
             \"maxAttempts\":{max_attempts},\"streamResume\":{resume}}}"
        )
    };
    let routes = [
        route("safe", "safe", false),
        route("unsafe", "unsafe", false),
        route("stream", "streaming", false),
        route("resume", "streaming", true),
    ];
    document_of(version, &routes)
}

pub fn document_of(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"healthCheckPath\":\"/health\",\
         \"maxConnections\":100}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":1000,\"idleTimeoutMs\":3000}}}}",
        routes.join(",")
    )
}

impl RouterHarness {
    /// A router without servers and configuration.
    pub fn without_configuration() -> RouterHarness {
        let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
        let text = settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), "");
        RouterHarness {
            router: RouterThread::start(&text, None),
            control,
        }
    }

    /// A router with servers and an active configuration with these bounds.
    pub fn with(
        servers: &[&Server],
        timeout_ms: u64,
        target_ms: u64,
        max_attempts: u32,
    ) -> RouterHarness {
        let harness = RouterHarness::without_configuration();
        harness.control.push_servers(
            servers
                .iter()
                .map(|s| record(s, ServerState::Ready, 1))
                .collect(),
        );
        harness
            .control
            .push_configuration(1, &document(1, timeout_ms, target_ms, max_attempts));
        wait_until("the configuration is active", || {
            harness.control.applied().is_some()
        });
        harness.control.wait_until_acknowledged();
        harness
    }

    /// The same with a timeout of 3 s, a latency target of 1 s and two attempts.
    pub fn with_defaults(servers: &[&Server]) -> RouterHarness {
        RouterHarness::with(servers, 3_000, 1_000, 2)
    }

    pub fn client(&self) -> super::client::Client {
        super::client::Client::connect(self.router.frontend)
    }
}
