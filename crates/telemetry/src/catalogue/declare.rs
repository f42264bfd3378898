//! The macro that declares the events together with their catalogue entries.

/// Declares [`Event`](super::Event) and its catalogue.
macro_rules! catalogue {
    ($(
        $name:ident { $($field:ident: $type:ty),* } = $number:literal, $severity:ident, $slug:literal, $meaning:literal;
    )*) => {
        /// One thing that happened, with its typed fields.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum Event {
            $(
                #[doc = $meaning]
                $name {
                    $(
                        #[doc = concat!("Field `", stringify!($field), "`.")]
                        $field: $type,
                    )*
                },
            )*
        }

        impl Event {
            /// Every kind of event, in order of its number.
            pub const CATALOGUE: &'static [CatalogueEntry] = &[
                $(CatalogueEntry {
                    number: $number,
                    severity: Severity::$severity,
                    slug: $slug,
                    meaning: $meaning,
                    fields: &[$(stringify!($field)),*],
                },)*
            ];

            /// Number of the event.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)*
                }
            }

            /// Severity of the event.
            #[must_use]
            pub const fn severity(&self) -> Severity {
                match self {
                    $(Self::$name { .. } => Severity::$severity,)*
                }
            }

            /// Short name of the event.
            #[must_use]
            pub const fn slug(&self) -> &'static str {
                match self {
                    $(Self::$name { .. } => $slug,)*
                }
            }

            /// What the event means.
            #[must_use]
            pub const fn meaning(&self) -> &'static str {
                match self {
                    $(Self::$name { .. } => $meaning,)*
                }
            }

            /// The fields with their values, in the catalogue's order.
            #[must_use]
            pub fn fields(&self) -> Vec<Field> {
                match self {
                    $(Self::$name { $($field),* } => vec![
                        $(Field { name: stringify!($field), value: FieldValue::from($field) },)*
                    ],)*
                }
            }
        }
    };
}
