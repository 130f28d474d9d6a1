//! Lists that discovery has sent: applied at once, or doubted until a complete one confirms them.

use super::{Directory, Discovery, Lifecycle, List, CONFIRMATION_TIMER};
use crate::decide::discovery::list_validator::{ReceivedList, Verdict};
use crate::interface::{ServerListUpdate, Time};
use crate::net::{Net, Timer};

impl Discovery {
    /// Takes a list that has come, or asks for a whole one to confirm it.
    pub(super) fn on_list(
        &mut self,
        net: &mut Net,
        now: Time,
        list: List,
        directory: &mut Directory,
    ) -> Vec<ServerListUpdate> {
        let is_complete = list.reset || self.generation.is_none();
        let received = ReceivedList {
            generation: list.generation,
            is_complete,
            lines: list.instances.len(),
        };
        match self
            .validator
            .on_list(now, received, self.generation, directory.len())
        {
            Verdict::Accept(_) => {
                self.unconfirmed_list = None;
                self.generation = Some(list.generation);
                vec![match is_complete {
                    true => ServerListUpdate::Complete(directory.replace_list(&list.instances)),
                    false => ServerListUpdate::Changes(directory.apply_changes(&list.instances)),
                }]
            }
            Verdict::Confirm(reason, until) => {
                self.log.push(format!(
                    "discovery: a list is doubted, the whole one is asked for: {reason}"
                ));
                // Of several in a row the first one's time counts: it was received then.
                let until = self
                    .unconfirmed_list
                    .as_ref()
                    .map_or(until, |(_, first)| until.min(*first));
                // The whole list is asked for; the timer is one that no call has.
                (self.generation, self.unconfirmed_list) = (None, Some((list, until)));
                net.wheel.set(until, Timer::Discovery(CONFIRMATION_TIMER));
                Vec::new()
            }
        }
    }

    /// A doubted list was not confirmed in time: what it wants stopped is stopped. What it says of
    /// others is not believed.
    pub(super) fn on_confirmation_timer(
        &mut self,
        now: Time,
        directory: &mut Directory,
    ) -> Vec<ServerListUpdate> {
        let Some((list, _)) = self.unconfirmed_list.take_if(|(_, until)| now >= *until) else {
            return Vec::new();
        };
        self.log.push(format!(
            "discovery: version {} was not confirmed: what it wants stopped is stopped",
            list.generation
        ));
        if list.instances.is_empty() {
            return vec![ServerListUpdate::Complete(directory.replace_list(&[]))];
        }
        let stopped = list
            .instances
            .into_iter()
            .filter(|i| i.lifecycle != Lifecycle::Serving);
        vec![ServerListUpdate::Changes(
            directory.apply_changes(&stopped.collect::<Vec<_>>()),
        )]
    }
}
