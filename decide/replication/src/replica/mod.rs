//! The state machine of one member.

use crate::*;

/// One member: a voter, a newcomer, or the primary.
#[derive(Clone, Debug)]
pub struct Replica<S> {
    settings: Settings,
    me: Member,
    membership: Membership,
    state: Option<S>,
    outputs: Vec<Output>,
}

impl<S: ReplicatedState> Replica<S> {
    /// The sole founder of a group, on an empty disk, at a first start. Its image is on disk before anything is told.
    pub fn found(settings: Settings, me: Member, state: S, seed: u64, now: Time) -> Self {
        let _ = (seed, now);
        Self { settings, me, membership: Membership::default(), state: Some(state), outputs: Vec::new() }
    }

    /// A member whose disk holds an image. `address` is where it is reached now.
    pub fn recover(
        settings: Settings,
        address: String,
        recovered: Recovered,
        seed: u64,
        now: Time,
    ) -> Result<Self, RecoverError> {
        let state = S::decode(&recovered.image.state)?;
        let me = Member { identity: recovered.image.identity, address };
        Ok(Self::found(settings, me, state, seed, now))
    }

    /// A member with an empty disk and a fresh identity: it knocks, and votes for nothing until a membership names it.
    pub fn newcomer(settings: Settings, me: Member, seed: u64, now: Time) -> Self {
        let _ = (seed, now);
        Self { settings, me, membership: Membership::default(), state: None, outputs: Vec::new() }
    }

    /// Addresses to knock at, beside those of members it knows.
    pub fn set_peers(&mut self, addresses: Vec<String>) {
        let _ = addresses;
    }

    /// A message came in. Answers go to the address that it names as its sender's.
    pub fn on_message(&mut self, now: Time, message: Message) {
        let _ = (now, message);
    }

    /// The item of this ticket, and all before it, are synced.
    pub fn on_persisted(&mut self, now: Time, ticket: Ticket) {
        let _ = (now, ticket);
    }

    /// The item of this ticket could not be written or synced. The next item will be a whole image.
    pub fn on_persist_failed(&mut self, now: Time, ticket: Ticket) {
        let _ = (now, ticket);
    }

    /// Time has passed; call it at [`Self::next_wake`], earlier does no harm.
    pub fn tick(&mut self, now: Time) {
        let _ = now;
    }

    /// When [`Self::tick`] has something to do next.
    pub fn next_wake(&self) -> Time {
        Time(u64::MAX)
    }

    /// Asks for a change; changes are written one at a time, in order. Ends in one [`Output::Settled`].
    pub fn propose(&mut self, now: Time, change: Vec<u8>) -> RequestId {
        let _ = (now, change);
        RequestId(0)
    }

    /// Asks for a round that begins after this call. Ends in one [`Output::Settled`].
    pub fn confirm(&mut self, now: Time) -> RequestId {
        let _ = now;
        RequestId(0)
    }

    /// Begins to leave: hands on the part of the primary, then asks to be removed.
    pub fn leave(&mut self, now: Time) {
        let _ = now;
    }

    /// Whether a member that leaves may stop: it is removed, or can't be without harm.
    pub fn has_left(&self) -> bool {
        false
    }

    /// What is to be done, in order; empties the list.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// What is known to be committed; none on an empty disk, and after a start until a primary tells.
    pub fn committed(&self) -> Option<(Position, &S)> {
        self.state.as_ref().map(|state| (Position::default(), state))
    }

    /// The membership in the newest image here.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Who this is.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// The whole image that stands for the item of this ticket and all before it, if a segment of the disk begins anew with it.
    pub fn image_for(&self, ticket: Ticket) -> Option<DurableItem> {
        let _ = (ticket, &self.settings);
        None
    }

    /// A picture for operators.
    pub fn status(&self, now: Time) -> Status {
        let _ = now;
        Status {
            member: self.me.clone(),
            role: RoleKind::Outsider,
            promised: Epoch::default(),
            primary: None,
            head: Position::default(),
            synced: None,
            committed: None,
            membership: self.membership.clone(),
            in_contact: false,
            writable: true,
            leaving: false,
            peers: Vec::new(),
            why: String::new(),
        }
    }

    /// Whether what is told here is in touch with a quorum: at the primary, confirmed of late; elsewhere, told so by one.
    pub fn in_contact(&self, now: Time) -> bool {
        let _ = now;
        false
    }

    /// The primary that this member knows, itself included.
    pub fn primary(&self) -> Option<&Member> {
        None
    }

    /// Whether this is the primary, and its first record is committed.
    pub fn is_serving(&self) -> bool {
        false
    }

    /// Whether no record is in flight and no change waits.
    pub fn is_idle(&self) -> bool {
        true
    }

    /// Whether the group is large enough to take orders, or has waited for others long enough.
    pub fn may_take_orders(&self, now: Time) -> bool {
        let _ = now;
        false
    }
}
