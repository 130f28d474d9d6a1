//! Maps the method and path of a request from a server or an operator to its target.

use lichenswitch_configuration::{is_header_value, OrderKind};
use percent_encoding::percent_decode_str;
use std::borrow::Cow;

/// The resource or operation that a request addresses.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RequestTarget<'a> {
    /// An order that changes the configuration.
    Order,
    /// The committed configuration.
    Describe,
    /// The status of this machine, or of the primary.
    Status,
    /// A heartbeat of the server with this instance name.
    Heartbeat(Cow<'a, str>),
    /// The deregistration of the server with this instance name.
    Deregister(Cow<'a, str>),
    /// The path names an instance that routers can't name to servers: it is not UTF-8, or no header
    /// carries it.
    InvalidInstance,
    /// The path exists, but accepts only this method.
    OtherMethod(&'static str),
    /// The path does not exist.
    Unknown,
}

impl<'a> RequestTarget<'a> {
    /// Returns the target for a method and a path.
    pub(super) fn of(method: &str, path: &'a str) -> RequestTarget<'a> {
        let (target, required_method) = match path {
            "/configuration/describe" => (RequestTarget::Describe, "GET"),
            "/status" => (RequestTarget::Status, "GET"),
            _ if OrderKind::of_path(path).is_some() => (RequestTarget::Order, "POST"),
            _ => (RequestTarget::of_instance(path), "POST"),
        };
        match target {
            RequestTarget::Unknown => RequestTarget::Unknown,
            target if method == required_method => target,
            _ => RequestTarget::OtherMethod(required_method),
        }
    }

    fn of_instance(path: &'a str) -> RequestTarget<'a> {
        let parts = path
            .strip_prefix("/instances/")
            .and_then(|rest| rest.split_once('/'));
        let (segment, target): (_, fn(Cow<'a, str>) -> RequestTarget<'a>) = match parts {
            Some((segment, "heartbeat")) => (segment, RequestTarget::Heartbeat),
            Some((segment, "deregister")) => (segment, RequestTarget::Deregister),
            _ => return RequestTarget::Unknown,
        };
        match instance_of(segment) {
            _ if segment.is_empty() => RequestTarget::Unknown,
            Some(instance) => target(instance),
            None => RequestTarget::InvalidInstance,
        }
    }
}

/// The instance that a segment of a path names, without the encoding of paths. Routers send it to servers
/// in `Target-Instance`, where that encoding has no meaning.
fn instance_of(segment: &str) -> Option<Cow<'_, str>> {
    let instance = percent_decode_str(segment).decode_utf8().ok()?;
    is_header_value(&instance).then_some(instance)
}

#[cfg(test)]
mod tests;
