package org.balsambank.core.catalogue.check;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Kind;

/**
 * Runs all checks on a catalogue file.
 *
 * <p>Stateless and thread-safe. A file without violations can be converted to a catalogue.
 */
public final class CatalogueChecker {
    private static final List<Supplier<AbstractCheck>> CHECKS = List.of(
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
     * @param root the root value of the file
     * @return the violations, in document order
     */
    public static List<Violation> check(final String file, final DocumentNode root) {
        final List<AbstractCheck> checks = CHECKS.stream().map(Supplier::get).toList();
        checks.forEach(check -> check.begin(file, root));
        visit(Section.ROOT, root, checks);
        return checks.stream()
                .flatMap(check -> check.violations().stream())
                .sorted(Comparator.comparing(Violation::position).thenComparing(Violation::rule))
                .toList();
    }

    private static void visit(final Section section, final DocumentNode entry, final List<AbstractCheck> checks) {
        if (entry.kind() != Kind.OBJECT) {
            return;
        }
        checks.forEach(check -> check.visitEntry(section, entry));
        entry.fields().stream()
                .filter(field -> section.field(field.name()).isPresent())
                .forEach(field -> sections(field.name())
                        .forEach(inner -> field.value().items().forEach(item -> visit(inner, item, checks))));
    }

    private static Stream<Section> sections(final String listName) {
        return Section.ofList(listName).stream();
    }
}
