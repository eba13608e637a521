//! The profiles in force at a router.

use {
    crate::fleet::Fleet,
    policy::{
        ProfileName,
        Share,
        Span,
        Units, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// The profiles in force at a router, as `GET /profiles` returns them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Profiles {
    /// Revision of the configuration that has them; 0 where there is none yet.
    pub revision: u64,
    /// The profiles, by name.
    pub profiles: Vec<ProfileView>,
}

/// One profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProfileView {
    /// Its name.
    pub name: ProfileName,
    /// Its share of the service relative to other profiles of the workspace.
    pub share: Share,
    /// From 0 to 9; higher goes first.
    pub urgency: u8,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Service counted for one answered request.
    pub weight: Units,
    /// Deadline of requests whose caller sets none, in microseconds.
    pub deadline: Span,
    /// Estimated cost of a request, in units.
    pub hint: Units,
}

impl Profiles {
    /// Lists the profiles of a configuration.
    ///
    /// # Examples
    ///
    /// ```
    /// use operators::{Document, Fleet, Profiles, Source};
    ///
    /// let source = Source::from_text("fleet.toml", operators::FLEET);
    /// let fleet = Fleet::new(Document::parse(&source).unwrap());
    /// let profiles = Profiles::new(7, &fleet);
    /// assert_eq!(profiles.profiles[0].name.as_str(), "batch");
    /// ```
    pub fn new(revision: u64, fleet: &Fleet) -> Profiles {
        let profiles = fleet
            .document()
            .profiles
            .iter()
            .map(|(name, p)| ProfileView {
                name: name.clone(),
                share: p.share,
                urgency: p.urgency,
                idempotent: p.idempotent,
                weight: p.weight,
                deadline: p.deadline,
                hint: p.hint,
            });
        Profiles {
            revision,
            profiles: profiles.collect(),
        }
    }
}
