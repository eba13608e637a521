//! Parsers of single values. Each returns the value, or the remedy for an invalid one.

use {
    policy::Span,
    std::{
        ops::RangeInclusive,
        str::FromStr, //
    },
    toml::de::DeValue, //
};

/// Parses text as `T`, such as an address.
///
/// # Examples
///
/// ```
/// use toml::de::DeValue;
///
/// let read = operators::text::<std::net::SocketAddr>("an address such as `\"127.0.0.1:7400\"`");
/// assert!(read(&DeValue::String("127.0.0.1:80".into())).is_ok());
/// assert!(read(&DeValue::Boolean(true)).is_err());
/// ```
pub fn text<T: FromStr>(expected: &str) -> impl Fn(&DeValue<'_>) -> Result<T, String> + '_ {
    move |v| {
        let s = v.as_str().ok_or_else(|| format!("give {expected}"))?;
        s.parse().map_err(|_| format!("give {expected}"))
    }
}

/// Parses a boolean.
pub fn flag(v: &DeValue<'_>) -> Result<bool, String> {
    v.as_bool()
        .ok_or_else(|| "write `true` or `false`, without quotes".to_owned())
}

/// Parses a time span with its unit.
pub fn span(v: &DeValue<'_>) -> Result<Span, String> {
    let remedy = match v {
        DeValue::Integer(n) => format!("add a unit, in quotes: `\"{}s\"` or `\"{}ms\"`", n, n),
        DeValue::String(s) if !s.is_empty() && s.chars().all(|c| c.is_ascii_digit()) => {
            format!("add a unit: `\"{s}s\"` or `\"{s}ms\"`")
        }
        _ => "write a whole number and a unit: `\"250ms\"`, `\"3s\"` or `\"2m\"`".to_owned(),
    };
    let span: Span = v.as_str().and_then(|s| s.parse().ok()).ok_or(remedy)?;
    if span == Span::ZERO {
        return Err("give a length of time above 0".to_owned());
    }
    Ok(span)
}

/// Parses a number of at least `least`, or greater than it if `above` is set.
pub fn number(least: f64, above: bool) -> impl Fn(&DeValue<'_>) -> Result<f64, String> {
    move |v| {
        let n = match v {
            DeValue::Integer(_) | DeValue::Float(_) => as_f64(v),
            _ => return Err("write a number without quotes, such as `2` or `0.5`".to_owned()),
        };
        let bound = if above { "above" } else { "of at least" };
        match n {
            Some(n) if n.is_finite() && (n > least || !above && n == least) => Ok(n),
            _ => Err(format!("give a number {bound} {least}")),
        }
    }
}

/// Parses an integer within a range.
pub fn integer(range: RangeInclusive<u64>) -> impl Fn(&DeValue<'_>) -> Result<u64, String> {
    move |v| {
        let remedy = || {
            format!(
                "give a whole number from {} to {}, without quotes",
                range.start(),
                range.end()
            )
        };
        let n = v
            .as_integer()
            .and_then(|n| u64::from_str_radix(n.as_str(), n.radix()).ok());
        n.filter(|n| range.contains(n)).ok_or_else(remedy)
    }
}

/// Reads one of a few words.
pub fn choice<T: Copy>(of: &[(&'static str, T)]) -> impl Fn(&DeValue<'_>) -> Result<T, String> {
    let of = of.to_vec();
    move |v| {
        let s = v.as_str().unwrap_or_default();
        let names: Vec<String> = of.iter().map(|(n, _)| format!("`\"{n}\"`")).collect();
        of.iter()
            .find(|(n, _)| *n == s)
            .map(|(_, t)| *t)
            .ok_or_else(|| format!("give one of {}", names.join(", ")))
    }
}

fn as_f64(v: &DeValue<'_>) -> Option<f64> {
    match v {
        DeValue::Float(f) => f.as_str().parse().ok(),
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix())
            .ok()
            .map(|n| n as f64),
        _ => None,
    }
}
