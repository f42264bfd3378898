//! The entries of one kind: a persistent ordered map that maintains a content hash and an index.

use std::borrow::Borrow;
use std::fmt::{self, Debug};
use std::ops::Index;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use umberpond_model::{ContentHash, RouteName, SecretName, ServiceName, TenantName};

use crate::content_set::{ContentSet, leaf};
use crate::record::{NoIndex, Record, RecordIndex};
use crate::route_index::RouteIndex;
use crate::{Entry, Route, Secret, Service, Tenant};

impl Record for Service {
    type Name = ServiceName;
    type Index = NoIndex;
}

impl Record for Route {
    type Name = RouteName;
    type Index = RouteIndex;
}

impl Record for Tenant {
    type Name = TenantName;
    type Index = NoIndex;
}

impl Record for Secret {
    type Name = SecretName;
    type Index = NoIndex;
}

/// Entries by name, ordered by name. Copies share their content: copying takes constant time, a change takes
/// logarithmic time.
#[derive(Clone)]
pub struct Entries<T: Record> {
    map: OrdMap<T::Name, Entry<T>>,
    content: ContentSet,
    index: T::Index,
}

impl<T: Record> Entries<T> {
    /// Returns the entry `name`.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, name: &Q) -> Option<&Entry<T>>
    where
        T::Name: Borrow<Q>,
    {
        self.map.get(name)
    }

    /// Returns the entry `name` together with the map's own copy of the name.
    #[must_use]
    pub fn get_key_value<Q: Ord + ?Sized>(&self, name: &Q) -> Option<(&T::Name, &Entry<T>)>
    where
        T::Name: Borrow<Q>,
    {
        self.map.get_key_value(name)
    }

    /// Whether there is an entry `name`.
    #[must_use]
    pub fn contains_key<Q: Ord + ?Sized>(&self, name: &Q) -> bool
    where
        T::Name: Borrow<Q>,
    {
        self.map.contains_key(name)
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Iterates over names and entries, ordered by name.
    pub fn iter(&self) -> imbl::ordmap::Iter<'_, T::Name, Entry<T>, imbl::shared_ptr::DefaultSharedPtr> {
        self.map.iter()
    }

    /// Iterates over the names in order.
    pub fn keys(&self) -> impl Iterator<Item = &T::Name> {
        self.map.keys()
    }

    /// Iterates over the entries, ordered by name.
    pub fn values(&self) -> impl Iterator<Item = &Entry<T>> {
        self.map.values()
    }

    /// Sets the entry `name`; returns the entry that it replaces.
    pub fn insert(&mut self, name: T::Name, entry: Entry<T>) -> Option<Entry<T>> {
        let new_leaf = leaf(name_str::<T>(&name), entry.hash());
        let old = self.map.insert(name.clone(), entry.clone());
        if let Some(old) = &old {
            self.content.remove(leaf(name_str::<T>(&name), old.hash()));
        }
        self.content.insert(new_leaf);
        self.index.update(&name, old.as_deref(), Some(&entry));
        old
    }

    /// Removes and returns the entry `name`.
    pub fn remove<Q: Ord + ?Sized>(&mut self, name: &Q) -> Option<Entry<T>>
    where
        T::Name: Borrow<Q>,
    {
        let (name, old) = self.map.remove_with_key(name)?;
        self.content.remove(leaf(name_str::<T>(&name), old.hash()));
        self.index.update(&name, Some(&old), None);
        Some(old)
    }

    /// Iterates over the entries that differ in `after`: the new entry, or `None` if it is removed. The cost
    /// is proportional to the parts that the two maps do not share.
    pub(crate) fn changes_to<'a>(
        &'a self,
        after: &'a Self,
    ) -> impl Iterator<Item = (&'a T::Name, Option<&'a Entry<T>>)> {
        self.map.diff(&after.map).map(|item| match item {
            DiffItem::Add(name, entry) => (name, Some(entry)),
            DiffItem::Update { new: (name, entry), .. } => (name, Some(entry)),
            DiffItem::Remove(name, _) => (name, None),
        })
    }

    /// Hash of all names and entries.
    pub(crate) fn hash(&self) -> ContentHash {
        self.content.hash()
    }

    pub(crate) const fn index(&self) -> &T::Index {
        &self.index
    }
}

fn name_str<T: Record>(name: &T::Name) -> &str {
    name.borrow()
}

impl<T: Record> Default for Entries<T> {
    fn default() -> Self {
        Self { map: OrdMap::new(), content: ContentSet::default(), index: T::Index::default() }
    }
}

impl<T: Record> PartialEq for Entries<T> {
    fn eq(&self, other: &Self) -> bool {
        self.map == other.map
    }
}

impl<T: Record> Eq for Entries<T> {}

impl<T: Record + Debug> Debug for Entries<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_map().entries(self.iter()).finish()
    }
}

impl<T: Record> FromIterator<(T::Name, Entry<T>)> for Entries<T> {
    fn from_iter<I: IntoIterator<Item = (T::Name, Entry<T>)>>(entries: I) -> Self {
        let mut collected = Self::default();
        for (name, entry) in entries {
            collected.insert(name, entry);
        }
        collected
    }
}

impl<'a, T: Record> IntoIterator for &'a Entries<T> {
    type Item = (&'a T::Name, &'a Entry<T>);
    type IntoIter = imbl::ordmap::Iter<'a, T::Name, Entry<T>, imbl::shared_ptr::DefaultSharedPtr>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<T: Record, Q: Ord + ?Sized> Index<&Q> for Entries<T>
where
    T::Name: Borrow<Q>,
{
    type Output = Entry<T>;

    fn index(&self, name: &Q) -> &Entry<T> {
        &self.map[name]
    }
}
