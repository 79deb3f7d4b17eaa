package org.balsambank.core.catalogue.check;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Kind;

/**
 * Runs all rules over a catalogue file.
 *
 * <p>Stateless and thread-safe. If no rule finds a mistake, the file can be turned into a catalogue.
 */
public final class CatalogueChecker {
    private static final List<Supplier<AbstractCheck>> RULES = List.of(
            UnknownFieldCheck::new,
            DuplicateFieldCheck::new,
            MissingFieldCheck::new,
            FieldTypeCheck::new,
            EmptyTextCheck::new,
            NegativeLimitCheck::new,
            LimitRangeCheck::new,
            WholeNumberCheck::new,
            ZeroLimitCheck::new,
            EnumValueCheck::new,
            DuplicateTeamCheck::new,
            DuplicateAdapterCheck::new,
            DuplicateTargetCheck::new,
            DuplicateServiceCheck::new,
            DuplicateKeyNameCheck::new,
            DuplicateKeyHashCheck::new,
            UnknownTeamCheck::new,
            UnknownServiceCheck::new,
            UnknownBaseModelCheck::new,
            TargetKindCheck::new,
            AdapterVersionCheck::new,
            AdapterNameCheck::new,
            KeyHashFormCheck::new,
            KeySaltCountCheck::new,
            HostAddressCheck::new);

    private CatalogueChecker() {}

    /**
     * Checks a file.
     *
     * @param file the name of the file
     * @param root its outermost value
     * @return the mistakes in the order of the file
     */
    public static List<Violation> check(final String file, final DocumentNode root) {
        final List<AbstractCheck> rules = RULES.stream().map(Supplier::get).toList();
        rules.forEach(rule -> rule.begin(file, root));
        visit(Section.ROOT, root, rules);
        return rules.stream()
                .flatMap(rule -> rule.violations().stream())
                .sorted(Comparator.comparing(Violation::position).thenComparing(Violation::rule))
                .toList();
    }

    private static void visit(final Section section, final DocumentNode entry, final List<AbstractCheck> rules) {
        if (entry.kind() != Kind.OBJECT) {
            return;
        }
        rules.forEach(rule -> rule.visitEntry(section, entry));
        entry.fields().stream()
                .filter(field -> section.field(field.name()).isPresent())
                .forEach(field -> inner(field.name())
                        .forEach(kind -> field.value().items().forEach(item -> visit(kind, item, rules))));
    }

    private static Stream<Section> inner(final String listName) {
        return Section.ofList(listName).stream();
    }
}
