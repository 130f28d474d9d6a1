//! Effects that the processes of control machines request, and their end.

use lichenswitch_messages::PeerMessage;
use lichenswitch_replication::{DurableItem, Notice, Position, WriteId};

use super::machine::{AfterEnd, Power};
use super::World;
use crate::control::Effect;
use crate::network::Host;
use crate::packet::{CallId, Packet, Reply};

impl World {
    /// Carries out the effects that a process requests.
    pub(super) fn apply_effects(&mut self, host: Host) {
        let now = self.now();
        let Some(process) = self.process(host) else {
            return;
        };
        let effects = process.take_effects(now);
        for effect in effects {
            self.do_effect(host, effect);
        }
        let Some(process) = self.process(host) else {
            return;
        };
        let wake = process.next_wake();
        self.wake_at(host, wake);
    }

    fn do_effect(&mut self, host: Host, effect: Effect) {
        match effect {
            Effect::Persist(write_id, item) => self.persist(host, write_id, item),
            Effect::SendPeer(to, message) => self.send_peer(host, &to, message),
            Effect::Reply(id, reply) => self.reply(host, id, reply, Power::On),
            Effect::ToRouter(id, message) => self.send_to_router(host, id, Some(message)),
            Effect::Committed(position) => self.on_committed(host, position),
            Effect::Notice(notice) => self.on_notice(host, &notice),
            Effect::End => self.on_end(host),
        }
    }

    /// Submits an item to the disk. A snapshot takes its place where the disk wants one: the whole
    /// state up to this item.
    fn persist(&mut self, host: Host, write_id: WriteId, item: DurableItem) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let whole = machine
            .process
            .as_ref()
            .filter(|_| machine.disk.wants_snapshot());
        let item = whole
            .and_then(|process| process.replica().snapshot_replacing(write_id))
            .unwrap_or(item);
        machine.disk.submit(write_id, item);
        self.begin_write(host);
    }

    fn send_peer(&mut self, host: Host, to: &str, message: PeerMessage) {
        self.counts.messages += 1;
        if let PeerMessage::Replication(bytes) = &message {
            self.counts.bytes += bytes.len() as u64;
        }
        let to = self
            .machines
            .values()
            .find(|machine| machine.address == to)
            .map(|machine| machine.host);
        if let Some(to) = to {
            self.send(host, to, Packet::Peer(message), true);
        }
    }

    /// Ends a call; a machine without power sends no response.
    pub(super) fn reply(&mut self, host: Host, id: CallId, reply: Reply, power: Power) {
        let now = self.now();
        let acknowledged = self.oracle.on_reply(now, host, id, &reply);
        let caller = self.caller_of(id);
        if let Some(caller) = caller.filter(|_| power == Power::On && !self.are_replies_lost) {
            self.send(host, caller, Packet::Reply(id, reply), false);
        }
        if let Some(action) = self.armed_by_acknowledgement.take_if(|_| acknowledged) {
            self.act_after(0, action);
        }
    }

    fn on_committed(&mut self, host: Host, position: Position) {
        let Some(process) = self
            .machines
            .get(&host)
            .and_then(|machine| machine.process.as_ref())
        else {
            return;
        };
        // Several positions may have been committed at once: only the last one's state is here.
        if let Some((here, replicated)) = process
            .replica()
            .committed()
            .filter(|(here, _)| *here == position)
        {
            self.oracle.on_committed(host, here, replicated);
        }
    }

    fn on_notice(&mut self, host: Host, notice: &Notice) {
        if let Notice::SnapshotReceived { bytes, .. } = notice {
            self.counts.snapshots += 1;
            self.counts.largest_snapshot = self.counts.largest_snapshot.max(*bytes);
        }
        self.record_trace(|| format!("{host} {notice:?}"));
    }

    /// The process has ended by itself, as it was told to.
    fn on_end(&mut self, host: Host) {
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        let after_end = machine.after_end;
        match after_end {
            AfterEnd::Restart => {
                self.stop(host, Power::On);
                self.restart(host);
            }
            AfterEnd::Remove => {
                self.stop(host, Power::Off);
                self.remove(host);
            }
        }
    }
}
