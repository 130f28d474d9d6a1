//! The tenants of the days that have some. Servers must be told their names unchanged, so the names have
//! letters outside ASCII, spaces and percent signs.

use lichenswitch_emulators::operator::document::Tenant;

/// The names of the tenants.
const NAMES: [&str; 3] = ["Šibenik", "čoček depot", "100%25"];

/// All tenants, each with one key.
#[must_use]
pub fn tenants() -> Vec<Tenant> {
    (0..NAMES.len()).map(tenant).collect()
}

/// The tenant that a client belongs to.
#[must_use]
pub fn tenant_of_client(client: usize) -> Tenant {
    tenant(client % NAMES.len())
}

fn tenant(index: usize) -> Tenant {
    Tenant {
        name: NAMES[index].into(),
        key: format!("key-of-tenant-{index}"),
    }
}
