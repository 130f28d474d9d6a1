//! The group of peer brokers: the connections to them and the membership view that they carry, for
//! the broker's loop.

use super::consensus::{Consensus, OutgoingMessages};
use super::{Heard, Talk, What, MOST};
use crate::config::Peers;
use crate::decide::fleet::{Fleet, Member, Verdict};
use crate::decide::lease::LeaseHolder;
use crate::interface::Time;
use crate::net::{ConnId, Net, Owner};

/// This broker's part in its peer group.
pub struct PeerGroup {
    talk: Talk,
    fleet: Fleet,
    /// The voters' log and the duties, where the operators' file names voters.
    consensus: Option<Consensus>,
    /// Peers that the file names.
    known: Vec<Member>,
    log: Vec<String>,
}

impl PeerGroup {
    /// A broker that listens for others already; tells where in its log.
    ///
    /// # Errors
    /// When the address can't be listened on, or the folder can't be used.
    pub fn new(net: &mut Net, told: Peers) -> Result<PeerGroup, String> {
        let now = net.clock.now();
        let own = Member {
            life: now.0,
            ..told.own.clone()
        };
        net.reserve_for_peers(MOST);
        let at = net
            .listen(Owner::PeerIn, told.listen)
            .map_err(|e| format!("peers: listen: {}: {e}", told.listen))?;
        let ways = told.ways();
        // The life makes two starts of one broker draw otherwise.
        let seed = told.seed ^ own.life;
        let talk = Talk::new(now, told.cluster.clone(), own.clone(), ways, seed);
        let line = format!(
            "peers: {} of {} in cluster {} listens on {at}",
            own.name, own.zone, told.cluster
        );
        let holder = LeaseHolder {
            name: own.name.clone(),
            incarnation: own.life,
        };
        let consensus = told
            .consensus
            .map(|config| Consensus::new(now, &told.cluster, holder, config))
            .transpose()
            .map_err(|e| e.to_string())?;
        let fleet = Fleet::new(now, own, told.known.clone(), told.rules, seed);
        Ok(PeerGroup {
            talk,
            fleet,
            consensus,
            known: told.known,
            log: vec![line],
        })
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        let mut lines = self.talk.take_log();
        lines.append(&mut self.log);
        lines.extend(self.consensus.iter_mut().flat_map(Consensus::take_log));
        lines
    }

    /// When [`PeerGroup::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let consensus = self
            .consensus
            .as_ref()
            .map_or(Time(u64::MAX), Consensus::next);
        self.talk.next().min(self.fleet.next()).min(consensus)
    }

    /// Does what is due. To be called before what is ready is read: messages that had to wait since
    /// this process stood still are no sign that their senders did.
    pub fn on_time(&mut self, net: &mut Net) {
        let now = net.clock.now();
        if self.fleet.next() <= now {
            let told = self.fleet.on_time(now);
            self.carry(net, told);
        }
        if self.talk.next() <= now {
            let heard = self.talk.on_time(net);
            self.hear(net, heard);
        }
        if let Some(consensus) = self.consensus.as_mut().filter(|c| c.next() <= now) {
            let messages = consensus.on_time(now);
            self.pass_on(net, messages);
        }
    }

    /// Peers wait to be accepted.
    pub fn accept(&mut self, net: &mut Net) {
        let ids = net.accept(Owner::PeerIn);
        self.talk.accepted(net, ids);
    }

    /// A connection of the talk is ready.
    pub fn ready(&mut self, net: &mut Net, id: ConnId) {
        let heard = self.talk.ready(net, id);
        self.hear(net, heard);
    }

    /// This broker stops: the others are told.
    pub fn on_stop(&mut self, net: &mut Net) {
        let now = net.clock.now();
        let messages = self
            .consensus
            .as_mut()
            .map(|c| c.on_stop(now))
            .unwrap_or_default();
        self.pass_on(net, messages);
        let told = self.fleet.on_stop(now);
        self.carry(net, told);
    }

    /// Sends the messages of the consensus to those whom they are for.
    fn pass_on(&mut self, net: &mut Net, messages: OutgoingMessages) {
        for (name, bytes) in messages {
            let known = self
                .fleet
                .alive()
                .get(&name)
                .or_else(|| self.known.iter().find(|m| m.name == name));
            // Of whom nothing is known, nobody waits: the log says it again.
            if let Some(to) = known.cloned() {
                self.talk.say_consensus(net, &to, bytes);
            }
        }
    }

    fn hear(&mut self, net: &mut Net, heard: Vec<Heard>) {
        for Heard { from, what } in heard {
            let now = net.clock.now();
            match (what, &mut self.consensus) {
                (What::Fleet(bytes), _) => {
                    let told = self.fleet.on_message(now, &bytes);
                    self.carry(net, told);
                }
                (What::Consensus(bytes), Some(consensus)) => {
                    let messages = consensus.on_message(now, &from.name, &bytes);
                    self.pass_on(net, messages);
                }
                (What::Greeting, Some(consensus)) => {
                    let messages = consensus.on_reconnected(now, &from.name);
                    self.pass_on(net, messages);
                }
                (What::Consensus(_) | What::Greeting, None) => {}
            }
        }
    }

    fn carry(&mut self, net: &mut Net, told: Vec<Verdict>) {
        for verdict in told {
            match verdict {
                // What the fleet says is about this moment: it may be dropped.
                Verdict::Send(to, bytes) => drop(self.talk.say(net, &to, bytes, false)),
                Verdict::Up(who, why) => self.note(&who, "up", &why.to_string()),
                Verdict::Down(who, why) => self.note(&who, "down", &why.to_string()),
                Verdict::Renewed(own, why) => {
                    self.note(&own, "renewed", &why.to_string());
                    self.talk.renew(own);
                }
            }
        }
    }

    fn note(&mut self, who: &Member, what: &str, why: &str) {
        let (name, life, alive) = (&who.name, who.life, self.fleet.alive().len() + 1);
        self.log.push(format!(
            "fleet: {name} {what} (life {life}): {why}; {alive} alive"
        ));
    }
}
