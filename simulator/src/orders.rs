//! Orders as the scripted operators write them, and what the oracle reads from configurations: each
//! contains the id of the order that it results from.

use lichenswitch_configuration::{Order, REPLACE_PATH, UPDATE_PATH};

/// Number of an order; never reused in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub u32);

/// Number of routes of a configuration beside the one that contains the id.
const ROUTES: usize = 3;

/// An order that replaces the whole configuration.
pub fn replacement(id: OrderId, base_version: u64, version: u64) -> Order {
    let others: Vec<String> = (0..ROUTES)
        .map(|number| route(&format!("r-{number}"), &format!("/r{number}/")))
        .collect();
    let routes = format!("{},{}", id_route(id), others.join(","));
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

/// An order that changes the route that contains the id.
pub fn update(id: OrderId, base_version: u64, version: u64) -> Order {
    let body = format!(
        "{{\"version\":{version},\"upserts\":{{\"routes\":[{}]}}}}",
        id_route(id)
    );
    Order {
        path: UPDATE_PATH.to_owned(),
        base_version,
        body: body.into_bytes(),
    }
}

/// An order that must be rejected: a route of an unknown service.
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

/// The route that contains the id of the order.
fn id_route(id: OrderId) -> String {
    route("marker", &format!("/order-{}/", id.0))
}

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"safe\",\
         \"timeoutMs\":3000,\"service\":\"s\"}}"
    )
}

/// The version of a configuration or an order, which is its first field.
pub fn version_of(body: &[u8]) -> Option<u64> {
    number_after(body, "{\"version\":")
}

/// The order that a configuration results from.
pub fn order_of(body: &[u8]) -> Option<OrderId> {
    number_after(body, "/order-").map(|number| OrderId(number as u32))
}

fn number_after(body: &[u8], key: &str) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let begin = text.find(key)? + key.len();
    let digits = text[begin..].find(|character: char| !character.is_ascii_digit())?;
    text[begin..begin + digits].parse().ok()
}
