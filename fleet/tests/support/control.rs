//! A scripted control machine.

use super::wait_until;
use lichenswitch_fleet::envelopes::{
    encode, encode_backlog_report, encode_tenant_message, EnvelopeReader, Incoming,
};
use lichenswitch_messages::{
    BacklogReport, ConfigurationPosition, ControlToRouter, Envelope, QuotaLeaseRequest,
    QuotaLeaseResponse, RouterToControl, ServerRecord, TenantMessage, ROUTER_HEARTBEAT_MS,
};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    in_contact: bool,
    is_silent: bool,
    routers: u32,
    control: Vec<String>,
    configuration: Option<(ConfigurationPosition, Vec<u8>)>,
    servers: Vec<ServerRecord>,
    links: Vec<Link>,
    handshake_count: usize,
    applied: Option<ConfigurationPosition>,
    acknowledged: u64,
    /// Lease requests that have come.
    lease_requests: Vec<QuotaLeaseRequest>,
    /// Tokens left to be leased; `None`: lease requests get no response.
    quota: Option<u64>,
    /// Requests for confirmation get no response.
    ignores_confirmations: bool,
    /// Backlogs that the router reports, by server.
    backlogs: BTreeMap<u32, u32>,
}

struct Link {
    stream: TcpStream,
    push: u64,
}

pub struct Control {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

pub fn position(number: u64) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: 1,
        primary: 1,
        number,
    }
}

impl Control {
    /// Listens at this address, in contact, with one router.
    pub fn at(address: SocketAddr) -> Control {
        Control::on(TcpListener::bind(address).expect("bind"))
    }

    /// The same on this listener.
    pub fn on(listener: TcpListener) -> Control {
        let address = listener.local_addr().expect("address");
        let state = Arc::new(Mutex::new(State {
            in_contact: true,
            routers: 1,
            ..State::default()
        }));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        let heartbeat_state = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(ROUTER_HEARTBEAT_MS));
            heartbeat_state.lock().expect("lock").send_heartbeats();
        });
        Control { address, state }
    }

    pub fn push_configuration(&self, number: u64, document: &str) {
        self.push_at(position(number), document);
    }

    pub fn push_at(&self, position: ConfigurationPosition, document: &str) {
        let mut state = self.state.lock().expect("lock");
        state.configuration = Some((position, document.as_bytes().to_vec()));
        state.send_all(&|push| ControlToRouter::Configuration {
            push,
            position,
            document: document.as_bytes().to_vec(),
        });
    }

    /// Pushes a configuration over a slow link: in so many pieces, with a pause after each. Whatever
    /// else is sent meanwhile waits behind it.
    pub fn push_configuration_slowly(
        &self,
        number: u64,
        document: &str,
        pieces: usize,
        pause: Duration,
    ) {
        let mut state = self.state.lock().expect("lock");
        let (position, document) = (position(number), document.as_bytes().to_vec());
        state.configuration = Some((position, document.clone()));
        let link = state.links.last_mut().expect("a router is connected");
        link.push += 1;
        let push = link.push;
        let message = ControlToRouter::Configuration {
            push,
            position,
            document,
        };
        let bytes = encode(&Envelope::ToRouter(message)).expect("encode");
        for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
            let _ = link.stream.write_all(piece);
            std::thread::sleep(pause);
        }
    }

    pub fn push_servers(&self, records: Vec<ServerRecord>) {
        let mut state = self.state.lock().expect("lock");
        for record in &records {
            state
                .servers
                .retain(|known| known.instance != record.instance);
            state.servers.push(record.clone());
        }
        state.send_all(&|push| ControlToRouter::Servers {
            push,
            records: records.clone(),
            is_complete: false,
        });
    }

    pub fn set_contact(&self, on: bool) {
        let mut state = self.state.lock().expect("lock");
        state.in_contact = on;
        state.send_heartbeats();
    }

    pub fn set_silent(&self, on: bool) {
        self.state.lock().expect("lock").is_silent = on;
    }

    pub fn set_routers(&self, routers: u32) {
        let mut state = self.state.lock().expect("lock");
        state.routers = routers;
        state.send_heartbeats();
    }

    pub fn set_control(&self, control: Vec<String>) {
        self.state.lock().expect("lock").control = control;
    }

    /// Ends all connections to routers.
    pub fn drop_links(&self) {
        for link in self.state.lock().expect("lock").links.drain(..) {
            let _ = link.stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Sets the tokens left to be leased; `None`: lease requests get no response.
    pub fn set_quota(&self, quota: Option<u64>) {
        self.state.lock().expect("lock").quota = quota;
    }

    pub fn lease_requests(&self) -> Vec<QuotaLeaseRequest> {
        self.state.lock().expect("lock").lease_requests.clone()
    }

    /// Sets whether requests for confirmation are answered.
    pub fn set_confirmations(&self, on: bool) {
        self.state.lock().expect("lock").ignores_confirmations = !on;
    }

    /// Backlogs that the router reports, by server.
    pub fn backlogs(&self) -> BTreeMap<u32, u32> {
        self.state.lock().expect("lock").backlogs.clone()
    }

    /// Forgets what the router has reported.
    pub fn forget_backlogs(&self) {
        self.state.lock().expect("lock").backlogs.clear();
    }

    /// Sends backlogs of servers to routers.
    pub fn push_backlogs(&self, report: &BacklogReport) {
        let bytes = encode_backlog_report(report).expect("encode");
        for link in &mut self.state.lock().expect("lock").links {
            let _ = link.stream.write_all(&bytes);
        }
    }

    pub fn handshake_count(&self) -> usize {
        self.state.lock().expect("lock").handshake_count
    }

    pub fn applied(&self) -> Option<ConfigurationPosition> {
        self.state.lock().expect("lock").applied
    }

    /// Waits until the last push on each link is acknowledged.
    pub fn wait_until_acknowledged(&self) {
        wait_until("the router has acknowledged", || {
            let state = self.state.lock().expect("lock");
            state
                .links
                .last()
                .is_some_and(|link| link.push > 0 && state.acknowledged >= link.push)
        });
    }
}

impl State {
    fn on_backlog_report(&mut self, report: &BacklogReport) {
        if report.is_complete {
            self.backlogs.clear();
        }
        self.backlogs
            .extend(report.servers.iter().map(|of| (of.server, of.tokens)));
        self.backlogs.retain(|_, tokens| *tokens > 0);
    }

    fn send_heartbeats(&mut self) {
        let (in_contact, control, routers) = (self.in_contact, self.control.clone(), self.routers);
        if self.is_silent {
            return;
        }
        let message = ControlToRouter::Heartbeat {
            in_contact,
            control_addresses: control,
            router_count: routers,
        };
        let bytes = encode(&Envelope::ToRouter(message)).expect("encode");
        for link in &mut self.links {
            let _ = link.stream.write_all(&bytes);
        }
    }

    fn respond(&mut self, message: TenantMessage) -> Option<TenantMessage> {
        match message {
            TenantMessage::Confirm { sent_at_us: stamp }
                if self.in_contact && !self.ignores_confirmations =>
            {
                let position = self.configuration.as_ref().map(|(position, _)| *position);
                Some(TenantMessage::Confirmed {
                    sent_at_us: stamp,
                    position,
                })
            }
            TenantMessage::LeaseRequest(request) => {
                let (id, needs) = (request.id, request.amounts.clone());
                self.lease_requests.push(request);
                let left = self.quota.as_mut()?;
                let mut granted = 0;
                for (place, need) in needs.into_iter().enumerate() {
                    if need <= *left {
                        granted |= 1 << place;
                        *left -= need;
                    }
                }
                Some(TenantMessage::LeaseResponse(QuotaLeaseResponse {
                    id,
                    granted_bits: granted,
                    prefetch_amount: 0,
                    retry_after_us: 250_000,
                }))
            }
            _ => None,
        }
    }

    fn send_all(&mut self, message: &dyn Fn(u64) -> ControlToRouter) {
        for link in &mut self.links {
            link.push += 1;
            let bytes = encode(&Envelope::ToRouter(message(link.push))).expect("encode");
            let _ = link.stream.write_all(&bytes);
        }
    }

    fn on_handshake(&mut self, stream: TcpStream) {
        self.handshake_count += 1;
        self.acknowledged = 0;
        let (configuration, servers) = (self.configuration.clone(), self.servers.clone());
        let others = std::mem::take(&mut self.links);
        self.links.push(Link { stream, push: 0 });
        self.send_heartbeats();
        if let Some((position, document)) = configuration {
            self.send_all(&|push| ControlToRouter::Configuration {
                push,
                position,
                document: document.clone(),
            });
        }
        self.send_all(&|push| ControlToRouter::Servers {
            push,
            records: servers.clone(),
            is_complete: true,
        });
        self.links.splice(0..0, others);
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let mut reader = EnvelopeReader::default();
    let mut bytes = [0; 4_096];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return,
            Ok(read) => reader.push(&bytes[..read]),
        }
        while let Ok(Some(incoming)) = reader.next_message() {
            let mut state = state.lock().expect("lock");
            match incoming {
                Incoming::Envelope(Envelope::FromRouter(RouterToControl::Hello {
                    configuration,
                    ..
                })) => {
                    state.applied = configuration;
                    state.on_handshake(stream.try_clone().expect("clone"));
                }
                Incoming::Envelope(Envelope::FromRouter(RouterToControl::Applied {
                    push,
                    configuration,
                })) => {
                    (state.acknowledged, state.applied) = (push, configuration);
                }
                Incoming::Tenant(message) => {
                    if let Some(answer) = state.respond(message) {
                        let bytes = encode_tenant_message(&answer).expect("encode");
                        let _ = stream.write_all(&bytes);
                    }
                }
                Incoming::Backlog(report) => state.on_backlog_report(&report),
                Incoming::Envelope(_) => panic!("only routers connect here"),
            }
        }
    }
}
