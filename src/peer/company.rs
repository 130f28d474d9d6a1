//! The company of other brokers: brokers' talk and the view of the fleet that it carries, for the broker's loop.

use super::{Heard, Talk, MOST};
use crate::config::Peers;
use crate::decide::fleet::{Fleet, Member, Verdict};
use crate::interface::Time;
use crate::net::{ConnId, Net, Owner};

/// One broker among others.
pub struct Company {
    talk: Talk,
    fleet: Fleet,
    log: Vec<String>,
}

impl Company {
    /// A broker that listens for others already; tells where in its log.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn new(net: &mut Net, told: Peers) -> Result<Company, String> {
        let now = net.clock.now();
        let own = Member { life: now.0, ..told.own.clone() };
        net.set_aside_for_peers(MOST);
        let at = net
            .listen(Owner::PeerIn, told.listen)
            .map_err(|e| format!("peers: listen: {}: {e}", told.listen))?;
        let ways = told.ways();
        // The life makes two starts of one broker draw otherwise.
        let seed = told.seed ^ own.life;
        let talk = Talk::new(now, told.cluster.clone(), own.clone(), ways, seed);
        let line = format!("peers: {} of {} in cluster {} listens on {at}", own.name, own.zone, told.cluster);
        let fleet = Fleet::new(now, own, told.known, told.rules, seed);
        Ok(Company { talk, fleet, log: vec![line] })
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        let mut lines = self.talk.take_log();
        lines.append(&mut self.log);
        lines
    }

    /// When [`Company::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        self.talk.next().min(self.fleet.next())
    }

    /// Does what is due. To be called before what is ready is read: messages that had to wait since this process stood
    /// still are no sign that their senders did.
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
        let told = self.fleet.on_stop(net.clock.now());
        self.carry(net, told);
    }

    fn hear(&mut self, net: &mut Net, heard: Vec<Heard>) {
        for word in heard {
            let told = self.fleet.on_message(net.clock.now(), &word.bytes);
            self.carry(net, told);
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
        self.log.push(format!("fleet: {name} {what} (life {life}): {why}; {alive} alive"));
    }
}
