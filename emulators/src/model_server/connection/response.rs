//! Heads of responses, and responses with a length.

use super::request::Request;
use super::{Connection, Persistence};
use crate::http::reason_phrase;
use crate::model_server::Fault;
use crate::sync::lock;
use std::io::Write;

/// The attempt that a response names by [`Fault::WrongId`].
const WRONG_ATTEMPT_ID: &str = "0000000000000bad";

impl Connection {
    /// Sends a response with a length.
    pub(super) fn respond(&mut self, status: u16, fields: &str, body: &[u8]) -> Persistence {
        let closes = self.shared.is_draining();
        let common_fields = self.common_fields(closes);
        let head = format!(
            "HTTP/1.1 {status} {}\r\n{fields}{common_fields}Content-Length: {}\r\n\r\n",
            reason_phrase(status),
            body.len()
        );
        let bytes = [
            std::mem::take(&mut self.delayed_response),
            head.into_bytes(),
            body.to_vec(),
        ]
        .concat();
        let is_sent = self.to.write_all(&bytes).is_ok();
        Persistence::closing_if(closes || !is_sent)
    }

    /// Fields that every response has.
    pub(super) fn common_fields(&self, closes: bool) -> String {
        let description = &self.shared.description;
        let load = *lock(&self.shared.load);
        let mut fields = String::new();
        if description.reports_load {
            fields = format!(
                "Server-Load: {},{},{}\r\n",
                load.running, load.waiting, description.slots
            );
        }
        let idle_seconds = description.idle_timeout.as_secs();
        match (closes, idle_seconds) {
            (true, _) => fields + "Connection: close\r\n",
            (false, 0) => fields,
            (false, _) => fields + &format!("Keep-Alive: timeout={idle_seconds}\r\n"),
        }
    }

    /// Fields that name the attempt and the server in the response to a request that has run.
    pub(super) fn identity_fields(&self, request: &Request) -> String {
        let run_count = self.shared.ledger.runs(&request.attempt);
        let instance = &self.shared.description.instance;
        let id = match request.fault {
            Some(Fault::WrongId) => WRONG_ATTEMPT_ID,
            _ => &request.attempt,
        };
        format!(
            "Attempt-Id: {id}\r\nResponse-Seal: {instance}.{id}.{run_count}\r\nInstance-Id: {instance}\r\n\
             Versions: {}\r\n",
            self.shared.description.version
        )
    }
}
