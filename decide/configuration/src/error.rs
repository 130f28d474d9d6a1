//! Errors for invalid configurations and orders.

use thiserror::Error;

/// Maximum length of a name in an error (characters). Keeps messages short.
const MAX_SHOWN_CHARS: usize = 80;

/// The reason for which a configuration or an order is invalid. The operator gets the message,
/// which names the item and the field, as the body of the response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The configuration or order is longer than [`MAX_DOCUMENT_BYTES`](crate::MAX_DOCUMENT_BYTES).
    #[error("the configuration has {bytes} bytes, and {limit} are the most")]
    TooLarge {
        /// Length of the body (bytes).
        bytes: usize,
        /// Maximum length (bytes).
        limit: usize,
    },
    /// The configuration or order is nested deeper than [`MAX_DEPTH`](crate::MAX_DEPTH).
    #[error("the configuration is nested deeper than {limit} levels")]
    TooDeep {
        /// Maximum number of nested arrays and objects.
        limit: usize,
    },
    /// The configuration or order is not UTF-8, not JSON, or truncated.
    #[error("the configuration is not whole JSON in UTF-8")]
    Unreadable,
    /// A required field is missing.
    #[error("{location} has no `{field}`")]
    MissingField {
        /// The object that contains the field, as shown to the operator.
        location: String,
        /// Name of the field, shortened.
        field: String,
    },
    /// A field has the wrong type.
    #[error("`{field}` of {location} is not {expected}")]
    WrongType {
        /// The object that contains the field, as shown to the operator.
        location: String,
        /// Name of the field, shortened.
        field: String,
        /// Description of the required type.
        expected: &'static str,
    },
    /// An object has a field twice.
    #[error("{location} has `{field}` twice")]
    DuplicateField {
        /// The object that contains the field, as shown to the operator.
        location: String,
        /// Name of the field, shortened.
        field: String,
    },
    /// An item of a list has no name, or an empty one.
    #[error("item {index} of `{list}` has no name")]
    MissingName {
        /// Name of the list.
        list: String,
        /// Index of the item, from 0.
        index: usize,
    },
    /// Two items of a list have the same name.
    #[error("`{list}` has `{name}` twice")]
    DuplicateName {
        /// Name of the list.
        list: String,
        /// The name that occurs twice.
        name: String,
    },
    /// An update changes items by name in a field that is not a list of named items.
    #[error("`{list}` is not a list of named items")]
    NotANamedList {
        /// Name of the field.
        list: String,
    },
    /// A route names a service that does not exist.
    #[error("route `{route}` names the service `{service}`, which is not known")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the unknown service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes `{first}` and `{second}` have the same host and prefix")]
    DuplicatePrefix {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// Two tenants have the same key. The key is a secret, so the error doesn't contain it.
    #[error("tenants `{first}` and `{second}` have a key of `apiKeys` in common")]
    SharedKey {
        /// Name of the first tenant.
        first: String,
        /// Name of the second tenant.
        second: String,
    },
    /// The name of a tenant can't be sent to servers, which get it as the value of a header.
    #[error(
        "the name of tenant `{tenant}` can't be sent in a header: it has a control character, or a \
         space at its beginning or end"
    )]
    TenantNotInHeader {
        /// Name of the tenant, with control characters escaped.
        tenant: String,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[error("the prefix of route `{route}` does not begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
    /// The weights of a route add up to 0.
    #[error("the weights of route `{route}` add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A weight of a route is below 0.
    #[error("a weight of route `{route}` is below 0")]
    NegativeWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[error("the time-out of route `{route}` is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// The version is not above the version that the configuration builds on.
    #[error("version {version} is not above {current}")]
    VersionNotAbove {
        /// Version in the configuration or order.
        version: u64,
        /// The version that it has to exceed.
        current: u64,
    },
    /// The header `Base-Version` is missing.
    #[error("the call has no `Base-Version`")]
    MissingBaseVersion,
    /// The header `Base-Version` is not a whole number of 64 bits.
    #[error("`Base-Version` is not a whole number")]
    UnreadableBaseVersion,
    /// The path is neither [`REPLACE_PATH`](crate::REPLACE_PATH) nor
    /// [`UPDATE_PATH`](crate::UPDATE_PATH).
    #[error("the path is not that of an order")]
    UnknownPath,
    /// An update was received before any configuration.
    #[error("there is no configuration yet that could be updated")]
    NothingToUpdate,
}

/// Shortens a name to [`MAX_SHOWN_CHARS`] for an error.
pub(crate) fn shown(name: &str) -> String {
    name.chars().take(MAX_SHOWN_CHARS).collect()
}
