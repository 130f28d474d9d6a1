//! The section `peers` of the operators' file: the protocol between brokers. Without the section there
//! is none.

use super::operators::OperatorsError;
use super::operators_file::{KnownFile, PeersFile};
use super::value_error::ValueError;
use super::{address, Operators, Platform};
use crate::decide::failure_detector::{Member, SwimConfig};
use crate::decide::lease::LeaseTerms;
use crate::interface::Micros;
use crate::peer::consensus::ConsensusConfig;
use crate::peer::PeersConfig;
use serde_saphyr::Spanned;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The longest name of a cluster, broker or zone (bytes): names travel with messages.
const MAX_NAME_BYTES: usize = 64;
/// Bounds of the times (milliseconds).
const PROBE_MS: RangeInclusive<u64> = 20..=60_000;
const SUSPICION_MS: RangeInclusive<u64> = 100..=600_000;
const LEASE_MS: RangeInclusive<u64> = 500..=600_000;
/// How many voters there may be: one of three may fail, three of seven.
const VOTERS: RangeInclusive<usize> = 3..=7;
/// The default duration of a lease (microseconds).
const DEFAULT_LEASE: Micros = 3_000_000;
/// How far clocks may be off, in millionths: two hundred times what crystals are, since the clocks
/// of virtual machines are slewed.
const CLOCK_DRIFT: u64 = 20_000;

impl PeersConfig {
    /// Reads the section; `None` where there is none. Name and zone are by default the platform's.
    ///
    /// # Errors
    /// At the first value that is missing, out of bounds or contradicts another one.
    pub fn load(
        operators: &Operators,
        platform: Option<&Platform>,
    ) -> Result<Option<PeersConfig>, OperatorsError> {
        let Some(file) = &operators.peers else {
            return Ok(None);
        };
        let reader = SectionReader { operators, file };
        let listen = reader.address(&file.listen, "listen")?;
        let own = reader.local_member(listen, platform)?;
        let mut known = reader.known_members()?;
        // The same file may serve all brokers: a broker need not know itself.
        known.retain(|m| m.name != own.name);
        let swim = reader.swim()?;
        let consensus = reader.consensus(&own, &known)?;
        Ok(Some(PeersConfig {
            cluster: reader.name(&file.cluster, "cluster")?,
            listen,
            own,
            known,
            swim,
            seed: platform.map_or(0, |p| p.seed),
            consensus,
        }))
    }
}

/// Reads and checks the values of the section.
struct SectionReader<'a> {
    operators: &'a Operators,
    file: &'a PeersFile,
}

impl SectionReader<'_> {
    /// A name of a cluster, broker, zone or role.
    fn name(&self, value: &Spanned<String>, key: &str) -> Result<String, OperatorsError> {
        let text = value.value.trim();
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            let reason = ValueError::NameLength {
                name: text.into(),
                max_bytes: MAX_NAME_BYTES,
            };
            return Err(self.operators.invalid(value, key, reason));
        }
        Ok(text.to_string())
    }

    /// Names that differ from each other.
    fn names(&self, values: &[Spanned<String>], key: &str) -> Result<Vec<String>, OperatorsError> {
        let mut names: Vec<String> = Vec::new();
        for value in values {
            let name = self.name(value, key)?;
            if names.contains(&name) {
                let reason = ValueError::Repeated(name);
                return Err(self.operators.invalid(value, key, reason));
            }
            names.push(name);
        }
        Ok(names)
    }

    /// A name, by default the platform's.
    fn name_or_platform(
        &self,
        value: Option<&Spanned<String>>,
        key: &str,
        platform: Option<&String>,
    ) -> Result<String, OperatorsError> {
        let missing = || {
            let reason = ValueError::MissingWithoutPlatform;
            self.operators.invalid_optional(value, key, reason)
        };
        match value {
            Some(value) => self.name(value, key),
            None => platform.cloned().ok_or_else(missing),
        }
    }

    /// An address with a port; only `listen` may stand for every address of the machine.
    fn address(&self, value: &Spanned<String>, key: &str) -> Result<SocketAddr, OperatorsError> {
        let address = address(&value.value).map_err(|error| {
            let key = key.into();
            let reason = ValueError::PeerAddress { key, error };
            self.operators.invalid(value, "peers", reason)
        })?;
        let is_unspecified = address.ip().is_unspecified() && key != "listen";
        if is_unspecified || address.port() == 0 {
            let reason = ValueError::NotConnectable(address);
            return Err(self.operators.invalid(value, key, reason));
        }
        Ok(address)
    }

    /// A time in milliseconds within bounds, in microseconds.
    fn time(
        &self,
        value: Option<&Spanned<u64>>,
        key: &str,
        bounds: &RangeInclusive<u64>,
        default: Micros,
    ) -> Result<Micros, OperatorsError> {
        let Some(value) = value else {
            return Ok(default);
        };
        if !bounds.contains(&value.value) {
            let reason = ValueError::OutOfBounds {
                value: value.value,
                least: *bounds.start(),
                most: *bounds.end(),
            };
            return Err(self.operators.invalid(value, key, reason));
        }
        Ok(value.value * 1_000)
    }

    /// This broker as it is advertised to others.
    fn local_member(
        &self,
        listen: SocketAddr,
        platform: Option<&Platform>,
    ) -> Result<Member, OperatorsError> {
        let file = self.file;
        let advertised = match &file.advertise {
            Some(value) => self.address(value, "advertise")?,
            None if listen.ip().is_unspecified() => {
                let reason = ValueError::NoAdvertisedAddress;
                return Err(self.operators.invalid(&file.listen, "advertise", reason));
            }
            None => listen,
        };
        let name = platform.map(|p| &p.name);
        let zone = platform.and_then(|p| p.zones.get(p.settings.zone as usize));
        Ok(Member {
            name: self.name_or_platform(file.name.as_ref(), "name", name)?,
            address: advertised,
            zone: self.name_or_platform(file.zone.as_ref(), "zone", zone)?,
            incarnation: 0,
        })
    }

    /// The brokers that the file names.
    fn known_members(&self) -> Result<Vec<Member>, OperatorsError> {
        let mut known: Vec<Member> = Vec::new();
        for entry in &self.file.known {
            known.push(self.known_member(entry, &known)?);
        }
        Ok(known)
    }

    /// A broker that the file names, with another name than those `before` it.
    fn known_member(&self, entry: &KnownFile, before: &[Member]) -> Result<Member, OperatorsError> {
        let name = self.name(&entry.name, "name")?;
        if before.iter().any(|member| member.name == name) {
            let reason = ValueError::Repeated(name);
            return Err(self.operators.invalid(&entry.name, "name", reason));
        }
        let zone = match &entry.zone {
            Some(zone) => self.name(zone, "zone")?,
            None => String::new(),
        };
        Ok(Member {
            name,
            address: self.address(&entry.address, "address")?,
            zone,
            incarnation: 0,
        })
    }

    /// The times of the failure detector.
    fn swim(&self) -> Result<SwimConfig, OperatorsError> {
        let (file, default) = (self.file, SwimConfig::default());
        let probe_interval = self.time(
            file.probe_ms.as_ref(),
            "probe_ms",
            &PROBE_MS,
            default.probe_interval,
        )?;
        let suspicion_timeout = self.time(
            file.suspicion_ms.as_ref(),
            "suspicion_ms",
            &SUSPICION_MS,
            default.suspicion_timeout,
        )?;
        if suspicion_timeout < 2 * probe_interval {
            let reason = ValueError::SuspicionTooShort {
                suspicion_ms: suspicion_timeout / 1_000,
                probe_ms: probe_interval / 1_000,
            };
            let value = file.suspicion_ms.as_ref().or(file.probe_ms.as_ref());
            let error = self
                .operators
                .invalid_optional(value, "suspicion_ms", reason);
            return Err(error);
        }
        Ok(SwimConfig {
            probe_interval,
            probe_timeout: default.probe_timeout * probe_interval / default.probe_interval,
            suspicion_timeout,
            ..default
        })
    }

    /// The voters, and this broker's storage and roles; `None`: no voters are named.
    fn consensus(
        &self,
        own: &Member,
        known: &[Member],
    ) -> Result<Option<ConsensusConfig>, OperatorsError> {
        let file = self.file;
        let lease = self.time(file.lease_ms.as_ref(), "lease_ms", &LEASE_MS, DEFAULT_LEASE)?;
        let voters = self.names(&file.voters, "voters")?;
        let roles = self.names(&file.duties, "duties")?;
        let folder = file.folder.as_ref().map(|value| self.folder(value));
        let folder = folder.transpose()?;
        self.check_voters(&voters, own, known)?;
        let terms = LeaseTerms {
            lease,
            drift: CLOCK_DRIFT,
        };
        Ok((!voters.is_empty()).then_some(ConsensusConfig {
            voters,
            folder,
            roles,
            terms,
        }))
    }

    fn folder(&self, value: &Spanned<String>) -> Result<PathBuf, OperatorsError> {
        match value.value.trim() {
            "" => Err(self
                .operators
                .invalid(value, "folder", ValueError::EmptyFolder)),
            path => Ok(PathBuf::from(path)),
        }
    }

    /// There are enough voters and not too many, each of them is known, and nothing is set that
    /// needs voters where there are none.
    fn check_voters(
        &self,
        voters: &[String],
        own: &Member,
        known: &[Member],
    ) -> Result<(), OperatorsError> {
        let file = self.file;
        let Some(first) = file.voters.first() else {
            let roles = file.duties.first().map(|value| (value, "duties"));
            let folder = file.folder.as_ref().map(|value| (value, "folder"));
            let Some((value, key)) = roles.or(folder) else {
                return Ok(());
            };
            return Err(self.operators.invalid(value, key, ValueError::NoVoters));
        };
        if !VOTERS.contains(&voters.len()) {
            let reason = ValueError::VoterCount {
                count: voters.len(),
                least: *VOTERS.start(),
                most: *VOTERS.end(),
            };
            return Err(self.operators.invalid(first, "voters", reason));
        }
        let is_known = |name: &String| *name == own.name || known.iter().any(|m| m.name == *name);
        let mut named = voters.iter().zip(&file.voters);
        if let Some((name, value)) = named.find(|(name, _)| !is_known(name)) {
            let reason = ValueError::UnknownVoter(name.clone());
            return Err(self.operators.invalid(value, "voters", reason));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
