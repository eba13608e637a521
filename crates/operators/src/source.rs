//! A text with the name of its file, which errors refer to.

use {
    miette::{
        Diagnostic,
        NamedSource, //
    },
    std::{
        fs::File,
        io::{
            self,
            Read, //
        },
        path::Path,
        sync::Arc, //
    },
    thiserror::Error, //
};

/// Largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// A text with a name.
#[derive(Debug, Clone)]
pub struct Source {
    code: Arc<NamedSource<String>>,
}

/// Why a file could not be read.
#[derive(Debug, Error, Diagnostic)]
pub enum FileError {
    /// The file does not exist.
    #[error("{0} does not exist")]
    #[diagnostic(help("check the path; `chervilwind defaults` prints files to start from"))]
    Missing(String),
    /// The operating system reported an error.
    #[error("{0} can't be read: {1}")]
    #[diagnostic(help("give a regular file that this user may read"))]
    Unreadable(String, io::Error),
    /// It has no content but white space.
    #[error("{0} is empty")]
    #[diagnostic(help("write it anew; `chervilwind defaults` prints files to start from"))]
    Empty(String),
    /// It is larger than [`MAX_FILE_BYTES`].
    #[error("{0} has more than {MAX_FILE_BYTES} bytes")]
    #[diagnostic(help("check that this is the right file; shorten it to at most 4 MiB"))]
    Large(String),
    /// It is not UTF-8 text.
    #[error("{0} is not UTF-8 text: byte {1} is wrong")]
    #[diagnostic(help("check that this is the right file; save it as UTF-8"))]
    Text(String, usize),
}

impl Source {
    /// Creates a source from a text in memory.
    pub fn from_text(name: &str, text: &str) -> Source {
        let code = NamedSource::new(name, text.to_owned());
        Source {
            code: Arc::new(code),
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If the file is missing, unreadable, empty, too large or not text.
    pub fn from_file(path: &Path) -> Result<Source, FileError> {
        let name = path.display().to_string();
        let text = read(path, &name)?;
        if text.trim().is_empty() {
            return Err(FileError::Empty(name));
        }
        Ok(Source::from_text(&name, &text))
    }

    /// Returns the name of the file.
    pub fn name(&self) -> &str {
        self.code.name()
    }

    /// Returns the whole text.
    pub fn text(&self) -> &str {
        self.code.inner()
    }

    /// Returns the line that contains a byte, counted from 1.
    pub fn line(&self, byte: usize) -> usize {
        let end = byte.min(self.text().len());
        let before = &self.text().as_bytes()[..end];
        before.iter().filter(|b| **b == b'\n').count() + 1
    }

    pub(crate) fn code(&self) -> &NamedSource<String> {
        &self.code
    }
}

fn read(path: &Path, name: &str) -> Result<String, FileError> {
    let fail = |e: io::Error| match e.kind() {
        io::ErrorKind::NotFound => FileError::Missing(name.to_owned()),
        _ => FileError::Unreadable(name.to_owned(), e),
    };
    let file = File::open(path).map_err(fail)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(fail)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(FileError::Large(name.to_owned()));
    }
    String::from_utf8(bytes)
        .map_err(|e| FileError::Text(name.to_owned(), e.utf8_error().valid_up_to()))
}
