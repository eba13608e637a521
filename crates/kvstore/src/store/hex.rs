//! Numbers that are written as hexadecimal text of fixed length.

/// Gives a newtype of a number its text, and the conversions by which `serde` uses that text.
macro_rules! hex_text {
    ($type:ident, $number:ty, $format:literal) => {
        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl std::str::FromStr for $type {
            type Err = std::num::ParseIntError;

            fn from_str(s: &str) -> Result<$type, Self::Err> {
                <$number>::from_str_radix(s, 16).map($type)
            }
        }

        impl TryFrom<String> for $type {
            type Error = std::num::ParseIntError;

            fn try_from(s: String) -> Result<$type, Self::Error> {
                s.parse()
            }
        }

        impl From<$type> for String {
            fn from(value: $type) -> String {
                value.to_string()
            }
        }
    };
}
