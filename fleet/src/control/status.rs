//! The status of a control machine, which operators read as JSON with `GET /status`.
//!
//! The names of the fields are the keys of the JSON, as listed in `docs/operate/control.md`.

use super::clock::{elapsed, from_replica_time, to_replica_time};
use super::node::ControlNode;
use lichenswitch_configuration::{Quota, QuotaUnit};
use lichenswitch_control::ReplicatedConfiguration;
use lichenswitch_interface::Time;
use lichenswitch_messages::ServerState;
use lichenswitch_quota::BucketUsage;
use lichenswitch_replication::{MemberRole, PeerStatus, Replica};
use miniserde::Serialize;
use std::collections::BTreeMap;

#[derive(Serialize)]
struct NodeStatus {
    node: String,
    address: String,
    identity: String,
    in_contact: bool,
    leaving: bool,
    configuration_version: u64,
    group: Option<GroupStatus>,
    peers: Vec<PeerLine>,
    routers: Vec<RouterLine>,
    routers_of_fleet: u32,
    servers: BTreeMap<String, u64>,
    quotas: Vec<QuotaLine>,
    refusals: Vec<RefusalLine>,
    storage: Option<StorageLine>,
}

#[derive(Serialize)]
struct GroupStatus {
    role: String,
    why_not_serving: String,
    epoch: String,
    primary: Option<String>,
    head: String,
    synced: Option<String>,
    committed: Option<String>,
    in_contact: bool,
    writable: bool,
    configuration_version: u64,
    orders_kept: u64,
    voters: Vec<VoterLine>,
}

#[derive(Serialize)]
struct VoterLine {
    identity: String,
    address: String,
    votes: bool,
    silent_for_ms: Option<u64>,
    synced: Option<String>,
    leaving: bool,
}

#[derive(Serialize)]
struct PeerLine {
    address: String,
    node: Option<String>,
    connected: bool,
    heard_ms_ago: Option<u64>,
    in_contact: bool,
    routers: u32,
}

#[derive(Serialize)]
struct RouterLine {
    node: String,
    zone: String,
    applied_pushes: u64,
    configuration: Option<String>,
}

/// A tenant's quota, and the shard of it that this machine owns.
#[derive(Serialize)]
struct QuotaLine {
    tenant: String,
    unit: String,
    rate_per_s: f64,
    burst: f64,
    /// Fraction of rate and burst that this machine owns. It is 0 if the machine owns none.
    part: f64,
    /// Current level of the shard.
    level: f64,
    /// Amount that the shard has granted since the process started.
    granted: f64,
    /// Number of requests that the shard has denied.
    denied: u64,
}

#[derive(Serialize)]
struct RefusalLine {
    status: u16,
    base_version: u64,
    reason: String,
    ms_ago: u64,
}

#[derive(Serialize)]
struct StorageLine {
    used_bytes: u64,
    segment_bytes: u64,
    disk_bytes: u64,
    outstanding_writes: u64,
    failure: Option<String>,
}

/// Returns the status of a machine as JSON.
pub(super) fn node(node: &ControlNode, now: Time) -> String {
    let ms_ago = |at: Time| u64::try_from(elapsed(at, now).as_millis()).unwrap_or(u64::MAX);
    let peers = node.peers.iter().map(|(address, peer)| PeerLine {
        address: address.to_string(),
        node: peer.handshake.as_ref().map(|peer| peer.node.clone()),
        connected: node.peers.connection(address).is_some(),
        heard_ms_ago: peer.last_received_at().map(ms_ago),
        in_contact: peer.in_contact,
        routers: peer.router_count,
    });
    let routers = node.routers.iter().map(|router| RouterLine {
        node: router.node.clone(),
        zone: router.zone.clone(),
        applied_pushes: router.applied_push,
        configuration: router
            .configuration()
            .map(|at| format!("{}.{:x}/{}", at.epoch, at.primary, at.number)),
    });
    let rejected_orders = node.rejected_orders.iter().map(|rejection| RefusalLine {
        status: rejection.status,
        base_version: rejection.base_version,
        reason: rejection.reason.clone(),
        ms_ago: ms_ago(from_replica_time(rejection.rejected_at)),
    });
    let status = NodeStatus {
        node: node.settings.node_name.clone(),
        address: node.address.to_string(),
        identity: format!("{:x}", node.identity),
        in_contact: node.in_contact(now),
        leaving: node.shutdown_started_at.is_some(),
        configuration_version: node
            .committed
            .as_ref()
            .map_or(0, |committed| committed.version),
        group: node
            .group
            .as_ref()
            .map(|group| group_status(&group.replica, now)),
        peers: peers.collect(),
        routers: routers.collect(),
        routers_of_fleet: node.routers_of_fleet(),
        servers: servers(node),
        quotas: quotas(node, now),
        refusals: rejected_orders.collect(),
        storage: storage(node),
    };
    miniserde::json::to_string(&status)
}

/// Returns the status of the group as JSON, as this machine's replica sees it. The primary sends it
/// to operators who request its status.
pub(super) fn group(replica: &Replica<ReplicatedConfiguration>, now: Time) -> String {
    miniserde::json::to_string(&group_status(replica, now))
}

fn group_status(replica: &Replica<ReplicatedConfiguration>, now: Time) -> GroupStatus {
    let status = replica.status(to_replica_time(now));
    let state = replica.committed().map(|(_, state)| &state.0);
    GroupStatus {
        role: role(status.role).to_owned(),
        why_not_serving: status.not_serving_reason,
        epoch: status.promised.to_string(),
        primary: status.primary.map(|member| member.address),
        head: status.head.to_string(),
        synced: status.synced.map(|at| at.to_string()),
        committed: status.committed.map(|at| at.to_string()),
        in_contact: status.in_contact,
        writable: status.is_writable,
        configuration_version: state.map_or(0, |state| state.version()),
        orders_kept: state.map_or(0, |state| state.history_len() as u64),
        voters: voters(&status.peers, &status.membership),
    }
}

/// Returns a line for each voter and each other known peer. Only the primary knows when it last
/// received a message from each. Other members know only the membership.
fn voters(
    peers: &[PeerStatus],
    membership: &lichenswitch_replication::Membership,
) -> Vec<VoterLine> {
    let from_peer_status = |peer: &PeerStatus| VoterLine {
        identity: peer.identity.to_string(),
        address: peer.member.address.clone(),
        votes: peer.is_voter,
        silent_for_ms: Some(peer.last_contact_age_us / 1_000),
        synced: peer.synced.map(|at| at.to_string()),
        leaving: peer.is_leaving,
    };
    let others = membership
        .all()
        .filter(|member| peers.iter().all(|peer| peer.identity != member.identity));
    let others = others.map(|member| VoterLine {
        identity: member.identity.to_string(),
        address: member.address.clone(),
        votes: true,
        silent_for_ms: None,
        synced: None,
        leaving: false,
    });
    peers.iter().map(from_peer_status).chain(others).collect()
}

fn role(role: MemberRole) -> &'static str {
    match role {
        MemberRole::NonVoter => "outsider",
        MemberRole::Voter => "voter",
        MemberRole::Candidate => "candidate",
        MemberRole::Primary { serving: true } => "primary",
        MemberRole::Primary { serving: false } => "primary, not serving yet",
    }
}

fn servers(node: &ControlNode) -> BTreeMap<String, u64> {
    let mut by_state = BTreeMap::new();
    for server in node.servers.registry().live_servers() {
        let state = match (server.state, server.is_suspect) {
            (ServerState::Ready, false) => "ready",
            (ServerState::Ready, true) => "ready, unheard",
            (ServerState::Draining, _) => "draining",
            (ServerState::Gone, _) => "gone",
        };
        *by_state.entry(state.to_owned()).or_insert(0) += 1;
    }
    by_state
}

fn quotas(node: &ControlNode, now: Time) -> Vec<QuotaLine> {
    let quotas = &node.quotas;
    let usage: BTreeMap<&str, BucketUsage> = quotas
        .buckets
        .usage(now, &quotas.ownership)
        .into_iter()
        .collect();
    let line = |(tenant, quota): (&str, &Quota)| {
        let used = usage.get(tenant).cloned().unwrap_or_default();
        QuotaLine {
            tenant: tenant.to_owned(),
            unit: unit(quota.unit).to_owned(),
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
            part: quotas.ownership.shard(now, tenant).fraction,
            level: used.level,
            granted: used.granted,
            denied: used.denied,
        }
    };
    let mut lines: Vec<QuotaLine> = quotas.buckets.quotas().map(line).collect();
    lines.sort_by(|one, other| one.tenant.cmp(&other.tenant));
    lines
}

fn unit(unit: QuotaUnit) -> &'static str {
    match unit {
        QuotaUnit::Requests => "requests",
        QuotaUnit::Tokens => "tokens",
    }
}

fn storage(node: &ControlNode) -> Option<StorageLine> {
    let disk = node.group.as_ref()?.disk_status()?;
    Some(StorageLine {
        used_bytes: disk.usage.used_bytes,
        segment_bytes: disk.usage.segment_bytes,
        disk_bytes: disk.usage.disk_bytes,
        outstanding_writes: disk.outstanding_writes as u64,
        failure: disk.failure.map(str::to_owned),
    })
}
