//! A scripted control machine: a function chooses its reply to each call, and it records the calls.
//! For tests of callers.

use crate::http::reason_phrase;
use crate::stream_client::message::{read_body, read_head, Call};
use crate::sync::lock;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A complete response.
    Response {
        /// Its status.
        status: u16,
        /// Its fields.
        fields: Vec<(String, String)>,
        /// Its body.
        body: String,
    },
    /// The connection is closed without a response.
    Close,
    /// No response: the caller waits until its timeout.
    NoReply,
}

impl Reply {
    /// A complete response with nothing but a status.
    #[must_use]
    pub fn status(status: u16) -> Reply {
        Reply::Response {
            status,
            fields: Vec::new(),
            body: String::new(),
        }
    }

    /// 200 with this body.
    #[must_use]
    pub fn body(body: &str) -> Reply {
        Reply::Response {
            status: 200,
            fields: Vec::new(),
            body: body.into(),
        }
    }
}

/// A scripted control machine. Its thread ends with the process.
#[derive(Clone, Debug)]
pub struct ScriptedControl {
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl ScriptedControl {
    /// Starts a machine whose reply is this function of the call and of the number of earlier calls.
    ///
    /// # Errors
    /// When no address of loopback can be listened on.
    pub fn start(
        reply: impl Fn(&Call, usize) -> Reply + Send + Sync + 'static,
    ) -> std::io::Result<ScriptedControl> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let control = ScriptedControl {
            address: listener.local_addr()?,
            calls: Arc::default(),
        };
        let (calls, reply) = (control.calls.clone(), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (calls, reply) = (calls.clone(), reply.clone());
                thread::spawn(move || serve(stream, &calls, &*reply));
            }
        });
        Ok(control)
    }

    /// The calls so far.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.calls).clone()
    }
}

fn serve(mut to: TcpStream, calls: &Mutex<Vec<Call>>, reply: &impl Fn(&Call, usize) -> Reply) {
    let Ok(twin) = to.try_clone() else { return };
    let mut from = BufReader::new(twin);
    while let Ok(Some(head)) = read_head(&mut from) {
        let Ok(body) = read_body(&mut from, &head, false) else {
            return;
        };
        let [method, path, _] = head.first_line.clone();
        let call = Call {
            method,
            path,
            fields: head.fields,
            body,
        };
        let before = {
            let mut calls = lock(calls);
            calls.push(call.clone());
            calls.len() - 1
        };
        let Reply::Response {
            status,
            fields,
            body,
        } = (match reply(&call, before) {
            Reply::Close => return,
            // The caller closes the connection after its timeout.
            Reply::NoReply => continue,
            response => response,
        })
        else {
            return;
        };
        let fields: String = fields
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let response = format!(
            "HTTP/1.1 {status} {}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
            reason_phrase(status),
            body.len()
        );
        if to.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
