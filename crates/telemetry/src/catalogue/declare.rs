//! The macro that declares the events and their catalogue entries.

/// Declares the enum [`Event`](super::Event) and its catalogue.
macro_rules! catalogue {
    ($(
        $name:ident { $($field:ident: $type:ty),* } = $number:literal, $severity:ident, $slug:literal, $meaning:literal;
    )*) => {
        /// An event with its typed fields.
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
            /// All kinds of events, ordered by number.
            pub const CATALOGUE: &'static [CatalogueEntry] = &[
                $(CatalogueEntry {
                    number: $number,
                    severity: Severity::$severity,
                    slug: $slug,
                    meaning: $meaning,
                    fields: &[$(stringify!($field)),*],
                },)*
            ];

            /// Number that identifies the kind of event.
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

            /// Short name of the kind of event, as in logs.
            #[must_use]
            pub const fn slug(&self) -> &'static str {
                match self {
                    $(Self::$name { .. } => $slug,)*
                }
            }

            /// Description of the kind of event; the message of its log line.
            #[must_use]
            pub const fn meaning(&self) -> &'static str {
                match self {
                    $(Self::$name { .. } => $meaning,)*
                }
            }

            /// The fields with their values, in declaration order.
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
