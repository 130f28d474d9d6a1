//! Headers that are passed on from one connection to another.

/// Those that concern one connection alone.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A header as it came.
pub type Header<'a> = httparse::Header<'a>;

/// The headers of a message.
#[derive(Clone, Copy)]
pub struct Headers<'a>(pub &'a [Header<'a>]);

impl<'a> Headers<'a> {
    /// The values of a name.
    pub fn all(self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + Clone {
        self.0.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    }

    /// The first value of a name as text.
    #[must_use]
    pub fn text(self, name: &'a str) -> Option<&'a str> {
        std::str::from_utf8(self.all(name).next()?).ok().map(str::trim)
    }

    /// Whether a comma-separated list has this token.
    #[must_use]
    pub fn has_token(self, name: &'a str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|found| found.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Writes the lines that are passed on: all but those that concern one connection, those that `Connection` names, and `others`
    /// (names in lower case).
    pub fn write_passed(self, others: &[&str], to: &mut Vec<u8>) {
        for header in self.0 {
            let dropped = |name: &&str| header.name.eq_ignore_ascii_case(name);
            if HOP_BY_HOP.iter().any(dropped)
                || others.iter().any(dropped)
                || self.has_token("connection", header.name)
            {
                continue;
            }
            to.extend_from_slice(header.name.as_bytes());
            to.extend_from_slice(b": ");
            to.extend_from_slice(header.value);
            to.extend_from_slice(b"\r\n");
        }
    }

    /// How the body of this message ends, where the headers tell it.
    ///
    /// # Errors
    /// They tell it in two ways.
    pub fn framing(self) -> Result<Option<super::framing::Framing>, super::framing::FramingError> {
        const FRAMING: [&str; 2] = ["transfer-encoding", "content-length"];
        let told = self.0.iter().filter_map(|header| {
            let name = FRAMING.into_iter().find(|name| header.name.eq_ignore_ascii_case(name))?;
            Some((name, header.value))
        });
        super::framing::told(told)
    }
}
