//! The configuration with the lookups that routers need.

use {
    crate::document::{
        Document,
        Mode,
        Profile,
        Service,
        Unit,
        Workspace, //
    },
    policy::{
        Share,
        Units, //
    },
    thiserror::Error, //
};

/// A checked configuration with the lookups that serving a request needs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Fleet {
    document: Document,
}

/// A caller used a name that is not in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnknownName {
    /// No such service.
    #[error("there is no service `{0}`; name one of the configuration's, or ask the operators to add it")]
    Service(String),
    /// No such profile.
    #[error("there is no profile `{0}`; name one of the configuration's, or ask the operators to add it")]
    Profile(String),
    /// No such workspace.
    #[error("there is no workspace `{0}`; name one of the configuration's, or ask the operators to add it")]
    Workspace(String),
}

impl Fleet {
    /// Wraps a checked document.
    ///
    /// # Examples
    ///
    /// ```
    /// use operators::{Document, Fleet, Source};
    ///
    /// let document = Document::parse(&Source::from_text("fleet.toml", operators::FLEET)).unwrap();
    /// let fleet = Fleet::new(document);
    /// assert!(fleet.service("drafting-llm").is_ok());
    /// assert!(fleet.workspace("nobody").is_err());
    /// ```
    pub fn new(document: Document) -> Fleet {
        Fleet { document }
    }

    /// Returns the document that operators wrote.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns which routers decide what runs next.
    pub fn mode(&self) -> Mode {
        self.document.policy.mode
    }

    /// Looks up a service.
    ///
    /// # Errors
    ///
    /// When the configuration has no such service.
    pub fn service(&self, name: &str) -> Result<&Service, UnknownName> {
        let found = name
            .parse()
            .ok()
            .and_then(|id| self.document.services.get(&id));
        found.ok_or_else(|| UnknownName::Service(clip(name)))
    }

    /// Looks up a profile.
    ///
    /// # Errors
    ///
    /// When the configuration has no such profile.
    pub fn profile(&self, name: &str) -> Result<&Profile, UnknownName> {
        let found = name
            .parse()
            .ok()
            .and_then(|id| self.document.profiles.get(&id));
        found.ok_or_else(|| UnknownName::Profile(clip(name)))
    }

    /// Looks up a workspace.
    ///
    /// # Errors
    ///
    /// When the configuration has no such workspace.
    pub fn workspace(&self, name: &str) -> Result<&Workspace, UnknownName> {
        let found = name
            .parse()
            .ok()
            .and_then(|id| self.document.workspaces.get(&id));
        found.ok_or_else(|| UnknownName::Workspace(clip(name)))
    }

    /// Returns the share of a workspace.
    ///
    /// # Errors
    ///
    /// When the configuration has no such workspace.
    pub fn share(&self, workspace: &str) -> Result<Share, UnknownName> {
        Ok(self.workspace(workspace)?.share)
    }
}

impl Service {
    /// Returns the estimated cost of one request of a profile, in this service's units.
    pub fn hint(&self, profile: &Profile) -> Units {
        match self.unit {
            Unit::Tokens => profile.hint,
            Unit::Requests => profile.weight,
        }
    }

    /// Returns how many requests a workspace may queue at one router.
    pub fn queue_of(&self, workspace: &Workspace) -> u32 {
        workspace.queue.unwrap_or(self.queue)
    }
}

/// Truncates a name that a caller sent, for an error message.
fn clip(name: &str) -> String {
    name.chars().take(64).collect()
}
