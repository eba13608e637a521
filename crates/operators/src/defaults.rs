//! The configuration document that is shipped as an example.

/// A commented configuration for a fleet of the size that its first users run.
///
/// # Examples
///
/// ```
/// let source = operators::Source::from_text("fleet.toml", operators::FLEET);
/// let document = operators::Document::parse(&source).unwrap();
/// assert_eq!(document.workspaces.len(), 16);
/// ```
pub const FLEET: &str = include_str!("defaults/fleet.toml");
