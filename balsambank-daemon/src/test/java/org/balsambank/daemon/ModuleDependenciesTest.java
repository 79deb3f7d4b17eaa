package org.balsambank.daemon;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Tests that dependencies between modules respect the layering. Confined to one thread. */
final class ModuleDependenciesTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.balsambank");

    @Test
    void coreDoesNotDependOnServersSocketsOrThreads() {
        noClasses()
                .that()
                .resideInAPackage("org.balsambank.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.vertx..",
                        "io.netty..",
                        "java.net..",
                        "java.nio.channels..",
                        "org.balsambank.coordination..",
                        "org.balsambank.gateway..",
                        "org.balsambank.peer..",
                        "org.balsambank.daemon..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CLASSES);
    }

    @Test
    void peerAndCoordinationDoNotDependOnDaemonOrEachOther() {
        noClasses()
                .that()
                .resideInAPackage("org.balsambank.peer..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.balsambank.daemon..", "org.balsambank.coordination..", "io.vertx..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("org.balsambank.coordination..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.balsambank.daemon..", "org.balsambank.peer..", "org.balsambank.core.request..")
                .check(CLASSES);
    }

    @Test
    void protocolDoesNotDependOnOtherModules() {
        noClasses()
                .that()
                .resideInAPackage("org.balsambank.protocol..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.balsambank.core..", "org.balsambank.peer..", "org.balsambank.daemon..")
                .check(CLASSES);
    }

    @Test
    void noCodeStartsProcesses() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .areAssignableTo(ProcessBuilder.class)
                .orShould()
                .callMethod(Runtime.class, "exec", String[].class)
                .check(CLASSES);
    }
}
