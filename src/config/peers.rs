//! The section `peers` of the operators' file: brokers' talk. Without it there is none.

use super::{address, Operators, Platform};
use crate::decide::fleet::{Member, Rules};
use crate::decide::lease::LeaseTerms;
use crate::interface::Micros;
use crate::peer::consensus::ConsensusConfig;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Longest name of a cluster, broker or zone, in bytes: they travel with messages.
const NAME: usize = 64;
/// Bounds of the times, milliseconds.
const PROBE: (u64, u64) = (20, 60_000);
const SUSPICION: (u64, u64) = (100, 600_000);
const LEASE: (u64, u64) = (500, 600_000);
/// How many voters there may be: one of three may fail, three of seven.
const VOTERS: (usize, usize) = (3, 7);
/// Default lease (microseconds), and how far clocks may be off, millionths: two hundred times what
/// crystals are, since clocks of virtual machines are slewed.
const USUAL_LEASE: Micros = 3_000_000;
const DRIFT: u64 = 20_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeersFile {
    cluster: Spanned<String>,
    listen: Spanned<String>,
    #[serde(default)]
    advertise: Option<Spanned<String>>,
    #[serde(default)]
    name: Option<Spanned<String>>,
    #[serde(default)]
    zone: Option<Spanned<String>>,
    #[serde(default)]
    known: Vec<KnownFile>,
    #[serde(default)]
    probe_ms: Option<Spanned<u64>>,
    #[serde(default)]
    suspicion_ms: Option<Spanned<u64>>,
    #[serde(default)]
    voters: Vec<Spanned<String>>,
    #[serde(default)]
    folder: Option<Spanned<String>>,
    #[serde(default)]
    duties: Vec<Spanned<String>>,
    #[serde(default)]
    lease_ms: Option<Spanned<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KnownFile {
    name: Spanned<String>,
    address: Spanned<String>,
    #[serde(default)]
    zone: Option<Spanned<String>>,
}

/// How this broker talks with others.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Whom it talks with: those of the same cluster.
    pub cluster: String,
    /// Where it listens for them.
    pub listen: SocketAddr,
    /// Its name, zone and the address that it tells others; its life begins with its start.
    pub own: Member,
    /// Some others, by which it finds the fleet. Their addresses hold here, whatever they say of
    /// themselves.
    pub known: Vec<Member>,
    /// How the fleet is watched.
    pub rules: Rules,
    /// For random numbers.
    pub seed: u64,
    /// The voters' log and the duties; `None`: no voters are named.
    pub consensus: Option<ConsensusConfig>,
}

impl Peers {
    /// Where the known ones are reached, by name.
    #[must_use]
    pub fn ways(&self) -> BTreeMap<String, SocketAddr> {
        self.known
            .iter()
            .map(|m| (m.name.clone(), m.address))
            .collect()
    }

    /// Reads the section; `None` where there is none. Name and zone are by default the platform's.
    pub fn load(
        operators: &Operators,
        platform: Option<&Platform>,
    ) -> Result<Option<Peers>, String> {
        let Some(read) = &operators.peers else {
            return Ok(None);
        };
        let fault = |line: u64, key: &str, why: &str| operators.fault(line, key, why);
        let named = |told: &Spanned<String>, key: &str| {
            let text = told.value.trim();
            if text.is_empty() || text.len() > NAME {
                return Err(fault(
                    told.referenced.line(),
                    key,
                    &format!("{text:?} has not 1 to {NAME} bytes"),
                ));
            }
            Ok(text.to_string())
        };
        let at = |told: &Spanned<String>, key: &str| {
            let line = told.referenced.line();
            let address =
                address(&told.value, key).map_err(|why| operators.fault(line, "peers", &why))?;
            match address.ip().is_unspecified() && key != "listen" || address.port() == 0 {
                true => Err(fault(
                    line,
                    key,
                    &format!("{address} is nowhere to connect to"),
                )),
                false => Ok(address),
            }
        };
        let or_platform =
            |told: &Option<Spanned<String>>, key: &str, platform: Option<&String>| match told {
                Some(told) => named(told, key),
                None => platform
                    .cloned()
                    .ok_or_else(|| operators.fault(0, key, "missing, and so is NODE_CONFIG")),
            };
        let listen = at(&read.listen, "listen")?;
        let advertised = match &read.advertise {
            Some(told) => at(told, "advertise")?,
            None if listen.ip().is_unspecified() => {
                let why = "missing, and listen names no one address";
                return Err(fault(read.listen.referenced.line(), "advertise", why));
            }
            None => listen,
        };
        let zone = platform.and_then(|p| p.zones.get(p.settings.zone as usize));
        let own = Member {
            name: or_platform(&read.name, "name", platform.map(|p| &p.name))?,
            address: advertised,
            zone: or_platform(&read.zone, "zone", zone)?,
            life: 0,
        };
        let mut known: Vec<Member> = Vec::new();
        for told in &read.known {
            let name = named(&told.name, "name")?;
            if known.iter().any(|m| m.name == name) {
                return Err(fault(
                    told.name.referenced.line(),
                    "name",
                    &format!("{name:?} is there twice"),
                ));
            }
            let zone = told
                .zone
                .as_ref()
                .map_or(Ok(String::new()), |zone| named(zone, "zone"))?;
            known.push(Member {
                name,
                address: at(&told.address, "address")?,
                zone,
                life: 0,
            });
        }
        // The same file may serve all brokers: a broker need not know itself.
        known.retain(|m| m.name != own.name);
        let usual = Rules::default();
        let time = |told: &Option<Spanned<u64>>,
                    key: &str,
                    (least, most): (u64, u64),
                    usual: Micros| match told {
            Some(t) if t.value < least || t.value > most => Err(fault(
                t.referenced.line(),
                key,
                &format!("{} is not within {least} to {most}", t.value),
            )),
            told => Ok(told.as_ref().map_or(usual, |t| t.value * 1_000)),
        };
        let probe = time(&read.probe_ms, "probe_ms", PROBE, usual.probe)?;
        let suspicion = time(
            &read.suspicion_ms,
            "suspicion_ms",
            SUSPICION,
            usual.suspicion,
        )?;
        if suspicion < 2 * probe {
            let line = read
                .suspicion_ms
                .as_ref()
                .or(read.probe_ms.as_ref())
                .map_or(0, |t| t.referenced.line());
            let why = format!(
                "{} ms is less than two probes of {} ms: nobody could refute it",
                suspicion / 1_000,
                probe / 1_000
            );
            return Err(fault(line, "suspicion_ms", &why));
        }
        let patience = usual.patience * probe / usual.probe;
        let lease = time(&read.lease_ms, "lease_ms", LEASE, USUAL_LEASE)?;
        let names = |told: &[Spanned<String>], key: &str| {
            let mut names: Vec<String> = Vec::new();
            for name in told {
                let line = name.referenced.line();
                let name = named(name, key)?;
                if names.contains(&name) {
                    return Err(fault(line, key, &format!("{name:?} is there twice")));
                }
                names.push(name);
            }
            Ok(names)
        };
        let (voters, duties) = (
            names(&read.voters, "voters")?,
            names(&read.duties, "duties")?,
        );
        let folder = read.folder.as_ref().map(|told| match told.value.trim() {
            "" => Err(fault(
                told.referenced.line(),
                "folder",
                "it names no folder",
            )),
            path => Ok(PathBuf::from(path)),
        });
        let folder = folder.transpose()?;
        let first = read.voters.first().map_or(0, |v| v.referenced.line());
        if !voters.is_empty() && !(VOTERS.0..=VOTERS.1).contains(&voters.len()) {
            let why = format!(
                "{} are named, {} to {} can agree",
                voters.len(),
                VOTERS.0,
                VOTERS.1
            );
            return Err(fault(first, "voters", &why));
        }
        let knows = |name: &String| *name == own.name || known.iter().any(|m| m.name == *name);
        if let Some((name, told)) = voters
            .iter()
            .zip(&read.voters)
            .find(|(name, _)| !knows(name))
        {
            let why = format!("{name:?} is not among known: nobody could find it");
            return Err(fault(told.referenced.line(), "voters", &why));
        }
        if voters.is_empty() {
            let orphan = read
                .duties
                .first()
                .map(|d| (d, "duties"))
                .or(read.folder.as_ref().map(|f| (f, "folder")));
            if let Some((told, key)) = orphan {
                let why = "there are no voters to agree on anything: name three to seven";
                return Err(fault(told.referenced.line(), key, why));
            }
        }
        let terms = LeaseTerms {
            lease,
            drift: DRIFT,
        };
        let consensus = (!voters.is_empty()).then_some(ConsensusConfig {
            voters,
            folder,
            roles: duties,
            terms,
        });
        Ok(Some(Peers {
            consensus,
            cluster: named(&read.cluster, "cluster")?,
            listen,
            own,
            known,
            rules: Rules {
                probe,
                patience,
                suspicion,
                ..usual
            },
            seed: platform.map_or(0, |p| p.seed),
        }))
    }
}

#[cfg(test)]
mod tests;
