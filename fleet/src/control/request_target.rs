//! Maps the method and path of a request from a server or an operator to its target.

use lichenswitch_configuration::OrderKind;

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
    Heartbeat(&'a str),
    /// The deregistration of the server with this instance name.
    Deregister(&'a str),
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
        match parts {
            Some((instance, "heartbeat")) if !instance.is_empty() => {
                RequestTarget::Heartbeat(instance)
            }
            Some((instance, "deregister")) if !instance.is_empty() => {
                RequestTarget::Deregister(instance)
            }
            _ => RequestTarget::Unknown,
        }
    }
}
