//! What a request of a server or an operator addresses, by its method and path.

use lichenswitch_configuration::OrderKind;

/// What a request addresses.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RequestTarget<'a> {
    /// An order that changes the configuration.
    Order,
    /// The committed configuration.
    Describe,
    /// The status of this machine, or of the primary.
    Status,
    /// The heartbeat of this server.
    Heartbeat(&'a str),
    /// The end of this server.
    Deregister(&'a str),
    /// The path exists, but takes only this method.
    OtherMethod(&'static str),
    /// The path does not exist.
    Unknown,
}

impl<'a> RequestTarget<'a> {
    /// The target of a request.
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
