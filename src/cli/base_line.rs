//! The first line of a configuration that `config` prints: what it was made on.

use {
    kvstore::store::{
        Base,
        Config,
        Revision,
        WriteId, //
    },
    std::{
        fmt,
        str::FromStr, //
    },
};

const START: &str = "# chervilwind: revision ";
const WRITE: &str = ", write ";
const WRITER: &str = ", by ";

/// Names the configuration that a file is based on.
///
/// An operator who edits an old copy would undo what others changed since, unseen. The line
/// goes with the file, so that `apply` writes only on the configuration that was copied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BaseLine {
    pub(crate) revision: Revision,
    pub(crate) write: WriteId,
    pub(crate) writer: String,
}

impl BaseLine {
    /// Makes the line for a configuration.
    pub(crate) fn of(config: &Config) -> BaseLine {
        BaseLine {
            revision: config.revision,
            write: config.write,
            writer: config.writer.clone(),
        }
    }

    /// Returns the base that it names.
    pub(crate) fn base(&self) -> Base {
        Base {
            revision: self.revision,
            write: Some(self.write),
        }
    }

    /// Takes the line off a text that begins with one.
    pub(crate) fn split(text: &str) -> (Option<BaseLine>, &str) {
        let Some((first, rest)) = text.split_once('\n') else {
            return (None, text);
        };
        match first.trim_end().parse() {
            Ok(line) => (Some(line), rest),
            Err(()) => (None, text),
        }
    }
}

impl fmt::Display for BaseLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let writer = self.writer.replace(char::is_control, " ");
        write!(
            f,
            "{START}{}{WRITE}{}{WRITER}{writer}",
            self.revision, self.write
        )
    }
}

impl FromStr for BaseLine {
    type Err = ();

    fn from_str(s: &str) -> Result<BaseLine, ()> {
        let rest = s.strip_prefix(START).ok_or(())?;
        let (revision, rest) = rest.split_once(WRITE).ok_or(())?;
        let (write, writer) = rest.split_once(WRITER).ok_or(())?;
        Ok(BaseLine {
            revision: revision.parse().map_err(|_| ())?,
            write: write.parse().map_err(|_| ())?,
            writer: writer.to_owned(),
        })
    }
}
