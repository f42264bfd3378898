//! Kinds of entries, and what is found of them by other means than the name.

use std::borrow::Borrow;
use std::fmt::Debug;

use bitcode::Encode;

/// A kind of entry.
pub trait Record: Clone + Encode {
    /// Name under which entries of this kind stand.
    type Name: Clone + Ord + Borrow<str> + Debug;
    /// What is found by other means than the name.
    type Index: RecordIndex<Self>;
}

/// An index that follows the changes of a map.
pub trait RecordIndex<T: Record>: Clone + Default + Debug {
    /// Takes in that `new` stands in the place of `old` under `name`.
    fn replace(&mut self, name: &T::Name, old: Option<&T>, new: Option<&T>);
}

/// The index of a kind that is only found by name.
#[derive(Debug, Clone, Default)]
pub struct NoIndex;

impl<T: Record> RecordIndex<T> for NoIndex {
    fn replace(&mut self, _name: &T::Name, _old: Option<&T>, _new: Option<&T>) {}
}
