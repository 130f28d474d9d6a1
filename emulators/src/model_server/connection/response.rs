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
        let response = self.response_bytes(status, fields, body, closes);
        self.send_response(&response, closes)
    }

    /// Sends a response with a length to a request, and stores it for later if that is the request's
    /// fault.
    pub(super) fn respond_to(
        &mut self,
        request: &Request,
        status: u16,
        fields: &str,
        body: &[u8],
    ) -> Persistence {
        let closes = self.shared.is_draining();
        let response = self.response_bytes(status, fields, body, closes);
        let persistence = self.send_response(&response, closes);
        if request.fault == Some(Fault::LateResponse) {
            self.delayed_response = response;
        }
        persistence
    }

    fn response_bytes(&self, status: u16, fields: &str, body: &[u8], closes: bool) -> Vec<u8> {
        let common_fields = self.common_fields(closes);
        let head = format!(
            "HTTP/1.1 {status} {}\r\n{fields}{common_fields}Content-Length: {}\r\n\r\n",
            reason_phrase(status),
            body.len()
        );
        [head.as_bytes(), body].concat()
    }

    /// Sends a complete response, behind a copy of an earlier one that was stored.
    fn send_response(&mut self, response: &[u8], closes: bool) -> Persistence {
        let delayed_response = std::mem::take(&mut self.delayed_response);
        let bytes = [&delayed_response, response].concat();
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
