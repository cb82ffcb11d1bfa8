//! Quorum systems and their availability.
//!
//! A [`FailureModel`] covers members that fail independently and members that fail together with
//! their data centre. The formulas for grids are (1) and (3) of Kumar, Rabinovich and Sinha, "A
//! Performance Study of a New Grid Protocol and General Grid Structures for Replicated Data".
//!
//! ```
//! use daisyseam_coord::quorum::{
//!     MajorityQuorum,
//!     QuorumSystem, //
//! };
//!
//! let quorum = MajorityQuorum { members: 3 };
//! assert!(quorum.can_write(0b011));
//! assert!(!quorum.can_write(0b100));
//! ```

/// Maximum number of members of a quorum system whose availability can be computed.
pub const MEMBERS_MAX: usize = 20;

/// A set of members as a bit mask.
pub type MemberSet = u32;

/// Defines which sets of members form a quorum.
pub trait QuorumSystem {
    /// Returns the number of members.
    fn members(&self) -> usize;

    /// Returns whether the members that are up contain a write quorum.
    fn can_write(&self, up: MemberSet) -> bool;

    /// Returns whether the members that are up contain a read quorum.
    fn can_read(&self, up: MemberSet) -> bool;

    /// Returns the size of the smallest write quorum.
    fn write_size(&self) -> usize;
}

/// A majority of the members, for reads and writes alike.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MajorityQuorum {
    /// Number of members.
    pub members: usize,
}

impl QuorumSystem for MajorityQuorum {
    fn members(&self) -> usize {
        self.members
    }

    fn can_write(&self, up: MemberSet) -> bool {
        up.count_ones() as usize > self.members / 2
    }

    fn can_read(&self, up: MemberSet) -> bool {
        self.can_write(up)
    }

    fn write_size(&self) -> usize {
        self.members / 2 + 1
    }
}

/// A solid grid under the modified grid protocol.
///
/// The member in a given row and column has the number `row * columns + column`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GridQuorum {
    /// Number of rows.
    pub rows: usize,
    /// Number of columns.
    pub columns: usize,
}

impl GridQuorum {
    fn column(&self, column: usize) -> MemberSet {
        (0..self.rows)
            .map(|row| 1 << (row * self.columns + column))
            .sum()
    }

    fn contains_member_of_each_column(&self, up: MemberSet) -> bool {
        (0..self.columns).all(|column| up & self.column(column) != 0)
    }

    fn contains_full_column(&self, up: MemberSet) -> bool {
        (0..self.columns).any(|column| up & self.column(column) == self.column(column))
    }
}

impl QuorumSystem for GridQuorum {
    fn members(&self) -> usize {
        self.rows * self.columns
    }

    fn can_write(&self, up: MemberSet) -> bool {
        self.contains_member_of_each_column(up) && self.contains_full_column(up)
    }

    fn can_read(&self, up: MemberSet) -> bool {
        self.contains_member_of_each_column(up) || self.contains_full_column(up)
    }

    fn write_size(&self) -> usize {
        self.rows + self.columns - 1
    }
}

/// Probabilities with which members fail.
#[derive(Clone, Debug, PartialEq)]
pub struct FailureModel {
    /// Data centre of each member.
    pub data_centres: Vec<usize>,
    /// Probability that a member is down while its data centre is up.
    pub member_down: f64,
    /// Probability that a whole data centre is down or unreachable.
    pub data_centre_down: f64,
}

impl FailureModel {
    /// Creates a model in which members fail independently of each other.
    pub fn independent(members: usize, member_down: f64) -> Self {
        Self {
            data_centres: (0..members).collect(),
            member_down,
            data_centre_down: 0.0,
        }
    }

    /// Returns the probability that a write quorum can be formed, by enumerating all cases.
    ///
    /// # Panics
    ///
    /// Panics if the model and the system differ in the number of members, or if it exceeds
    /// [`MEMBERS_MAX`].
    pub fn write_availability(&self, system: &impl QuorumSystem) -> f64 {
        self.availability(system.members(), |up| system.can_write(up))
    }

    /// Returns the probability that a read quorum can be formed, by enumerating all cases.
    ///
    /// # Panics
    ///
    /// Panics in the same cases as [`FailureModel::write_availability`].
    pub fn read_availability(&self, system: &impl QuorumSystem) -> f64 {
        self.availability(system.members(), |up| system.can_read(up))
    }

    fn availability(&self, members: usize, formed: impl Fn(MemberSet) -> bool) -> f64 {
        assert_eq!(
            members,
            self.data_centres.len(),
            "the model must name a data centre for each member"
        );
        assert!(members <= MEMBERS_MAX, "too many members to enumerate");
        let centres = self.data_centres.iter().max().map_or(0, |last| last + 1);
        (0..1_u32 << centres)
            .filter_map(|centres_up| {
                let probability = set_probability(centres_up, centres, self.data_centre_down);
                (probability > 0.0)
                    .then(|| probability * self.availability_given(centres_up, &formed))
            })
            .sum()
    }

    fn availability_given(&self, centres_up: u32, formed: &impl Fn(MemberSet) -> bool) -> f64 {
        let reachable: MemberSet = self
            .data_centres
            .iter()
            .enumerate()
            .filter(|(_, centre)| centres_up >> **centre & 1 == 1)
            .map(|(member, _)| 1 << member)
            .sum();
        let members = self.data_centres.len();
        (0..1_u32 << members)
            .filter(|up| formed(up & reachable))
            .map(|up| set_probability(up, members, self.member_down))
            .sum()
    }
}

/// Returns the probability that exactly this set is up if each member is down with probability
/// `down`.
fn set_probability(up: u32, members: usize, down: f64) -> f64 {
    (0..members)
        .map(|member| match up >> member & 1 {
            1 => 1.0 - down,
            _ => down,
        })
        .product()
}
