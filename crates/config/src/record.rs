//! Kinds of entries and their secondary indexes.

use std::borrow::Borrow;
use std::fmt::Debug;

use bitcode::Encode;

/// A kind of entry.
pub trait Record: Clone + Encode {
    /// Type of the names of entries of this kind.
    type Name: Clone + Ord + Borrow<str> + Debug;
    /// Secondary index of entries of this kind.
    type Index: RecordIndex<Self>;
}

/// A secondary index that is updated with every change of a map.
pub trait RecordIndex<T: Record>: Clone + Default + Debug {
    /// Updates the index after the entry `name` changed from `old` to `new`.
    fn update(&mut self, name: &T::Name, old: Option<&T>, new: Option<&T>);
}

/// The index of kinds that are looked up by name only.
#[derive(Debug, Clone, Default)]
pub struct NoIndex;

impl<T: Record> RecordIndex<T> for NoIndex {
    fn update(&mut self, _name: &T::Name, _old: Option<&T>, _new: Option<&T>) {}
}
