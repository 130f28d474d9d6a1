//! Configurations as the scripted operators write them: each names the order that brought it.

use lichenswitch_configuration::{Order, REPLACE_PATH, UPDATE_PATH};

/// Number of an order; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub u32);

/// Routes of a configuration, beside the one that names the order.
const ROUTES: usize = 3;

/// An order that brings a whole configuration.
pub fn replacement(id: OrderId, base_version: u64, version: u64) -> Order {
    let others: Vec<String> = (0..ROUTES)
        .map(|number| route(&format!("r-{number}"), &format!("/r{number}/")))
        .collect();
    let routes = format!("{},{}", marker(id), others.join(","));
    let body = format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"s\",\"maxConnections\":9}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    Order {
        path: REPLACE_PATH.to_owned(),
        base_version,
        body: body.into_bytes(),
    }
}

/// An order that changes a route.
pub fn update(id: OrderId, base_version: u64, version: u64) -> Order {
    let body = format!(
        "{{\"version\":{version},\"upserts\":{{\"routes\":[{}]}}}}",
        marker(id)
    );
    Order {
        path: UPDATE_PATH.to_owned(),
        base_version,
        body: body.into_bytes(),
    }
}

/// An order that nobody may take: a route of a service that is not known.
///
/// # Panics
/// Never: the body of an update is text.
pub fn invalid(id: OrderId, base_version: u64, version: u64) -> Order {
    let order = update(id, base_version, version);
    let text = String::from_utf8(order.body).expect("the body is text");
    Order {
        body: text
            .replace("\"service\":\"s\"", "\"service\":\"nowhere\"")
            .into_bytes(),
        ..order
    }
}

fn marker(id: OrderId) -> String {
    route("marker", &format!("/order-{}/", id.0))
}

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"safe\",\
         \"timeoutMs\":3000,\"service\":\"s\"}}"
    )
}

/// The version that a configuration or an order names: its first field.
pub fn version_of(body: &[u8]) -> Option<u64> {
    number_after(body, "{\"version\":")
}

/// The order that brought a configuration.
pub fn order_of(body: &[u8]) -> Option<OrderId> {
    number_after(body, "/order-").map(|number| OrderId(number as u32))
}

fn number_after(body: &[u8], key: &str) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let begin = text.find(key)? + key.len();
    let digits = text[begin..].find(|character: char| !character.is_ascii_digit())?;
    text[begin..begin + digits].parse().ok()
}
