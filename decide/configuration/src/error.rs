//! Why a configuration or an order is invalid.

use thiserror::Error;

/// Longest name that an error repeats (characters), so that messages stay short.
const MAX_SHOWN_CHARS: usize = 80;

/// Why a configuration or an order is invalid. Each names the item and the field. The operator gets
/// the message as the body of the response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// Longer than [`MAX_DOCUMENT_BYTES`](crate::MAX_DOCUMENT_BYTES).
    #[error("the configuration has {bytes} bytes, and {limit} are the most")]
    TooLarge {
        /// Its length.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// Nested deeper than [`MAX_DEPTH`](crate::MAX_DEPTH).
    #[error("the configuration is nested deeper than {limit} levels")]
    TooDeep {
        /// The limit.
        limit: usize,
    },
    /// Not UTF-8, not JSON, or truncated.
    #[error("the configuration is not whole JSON in UTF-8")]
    Unreadable,
    /// A required field is missing.
    #[error("{location} has no `{field}`")]
    MissingField {
        /// The object.
        location: String,
        /// Name of the field.
        field: String,
    },
    /// A field has the wrong type.
    #[error("`{field}` of {location} is not {expected}")]
    WrongType {
        /// The object.
        location: String,
        /// Name of the field.
        field: String,
        /// The type that it has to have.
        expected: &'static str,
    },
    /// An object has a field twice.
    #[error("{location} has `{field}` twice")]
    DuplicateField {
        /// The object.
        location: String,
        /// Name of the field.
        field: String,
    },
    /// An item of a list has no name, or an empty one.
    #[error("item {index} of `{list}` has no name")]
    MissingName {
        /// The list.
        list: String,
        /// Index of the item, from 0.
        index: usize,
    },
    /// Two items of a list have the same name.
    #[error("`{list}` has `{name}` twice")]
    DuplicateName {
        /// The list.
        list: String,
        /// The name.
        name: String,
    },
    /// An update changes items by name in a field that is not a list of named items.
    #[error("`{list}` is not a list of named items")]
    NotANamedList {
        /// The field.
        list: String,
    },
    /// A route names a service that does not exist.
    #[error("route `{route}` names the service `{service}`, which is not known")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes `{first}` and `{second}` have the same host and prefix")]
    DuplicatePrefix {
        /// The first one.
        first: String,
        /// The second one.
        second: String,
    },
    /// Two tenants have the same key. The key itself is a secret and not part of the error.
    #[error("tenants `{first}` and `{second}` have a key of `apiKeys` in common")]
    SharedKey {
        /// The first one.
        first: String,
        /// The second one.
        second: String,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[error("the prefix of route `{route}` does not begin and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: String,
    },
    /// The weights of a route add up to 0.
    #[error("the weights of route `{route}` add up to 0")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// A weight of a route is below 0.
    #[error("a weight of route `{route}` is below 0")]
    NegativeWeight {
        /// The route.
        route: String,
    },
    /// The time-out of a route is 0.
    #[error("the time-out of route `{route}` is 0")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// The version is not above the one that it builds on.
    #[error("version {version} is not above {current}")]
    VersionNotAbove {
        /// Version of the configuration.
        version: u64,
        /// The version that it has to be above.
        current: u64,
    },
    /// `Base-Version` is missing.
    #[error("the call has no `Base-Version`")]
    MissingBaseVersion,
    /// `Base-Version` is not a whole number.
    #[error("`Base-Version` is not a whole number")]
    UnreadableBaseVersion,
    /// The path is not one of an order.
    #[error("the path is not that of an order")]
    UnknownPath,
    /// An update came before any configuration.
    #[error("there is no configuration yet that could be updated")]
    NothingToUpdate,
}

/// A name as errors show it: shortened.
pub(crate) fn shown(name: &str) -> String {
    name.chars().take(MAX_SHOWN_CHARS).collect()
}
